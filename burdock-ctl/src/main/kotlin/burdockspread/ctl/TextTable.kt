/** Plain-text tables. */
package burdockspread.ctl

/** A table of rows in aligned columns without rules. */
internal class TextTable(vararg header: String) {
    private val rows = arrayListOf(header.toList())

    fun addRow(vararg cells: String) {
        rows += cells.toList()
    }

    /** Renders the table; numeric columns are right-aligned. */
    fun render(): String {
        val widths = rows.first().indices.map { i -> rows.maxOf { it[i].length } }
        val isNumericColumn = widths.indices.map { i -> rows.drop(1).all { isNumber(it[i]) } }
        return rows.joinToString("\n") { row ->
            row.indices.joinToString(COLUMN_SEPARATOR) { i ->
                if (isNumericColumn[i]) row[i].padStart(widths[i]) else row[i].padEnd(widths[i])
            }.trimEnd()
        }
    }

    private fun isNumber(cell: String): Boolean = NUMBER_PATTERN.matches(cell)

    private companion object {
        const val COLUMN_SEPARATOR = "  "
        val NUMBER_PATTERN = Regex("[-+]?[0-9.]+%?")
    }
}
