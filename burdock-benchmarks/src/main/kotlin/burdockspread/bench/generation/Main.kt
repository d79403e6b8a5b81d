/** Prints all comparisons for generations. */
package burdockspread.bench.generation

/** Prints all tables. Times are virtual unless a table says otherwise. */
public fun main() {
    println("Generations, seed ${EngineModel.SEED}")
    println()
    EngineLoss.print()
    EntryLoss.print()
    ReconnectSchedules.print()
    CopyAge.print()
    CopyInterval.print()
    GenerationCosts.print()
}
