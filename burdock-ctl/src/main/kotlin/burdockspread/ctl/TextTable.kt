/** Plain text tables. */
package burdockspread.ctl

/** Rows in aligned columns, without lines between them. */
internal class TextTable(vararg header: String) {
    private val rows = arrayListOf(header.toList())

    fun row(vararg cells: String) {
        rows += cells.toList()
    }

    /** The table; numbers stand to the right. */
    fun render(): String {
        val widths = rows.first().indices.map { i -> rows.maxOf { it[i].length } }
        val numeric = widths.indices.map { i -> rows.drop(1).all { isNumber(it[i]) } }
        return rows.joinToString("\n") { row ->
            row.indices.joinToString(GAP) { i ->
                if (numeric[i]) row[i].padStart(widths[i]) else row[i].padEnd(widths[i])
            }.trimEnd()
        }
    }

    private fun isNumber(cell: String): Boolean = NUMBER.matches(cell)

    private companion object {
        const val GAP = "  "
        val NUMBER = Regex("[-+]?[0-9.]+%?")
    }
}
