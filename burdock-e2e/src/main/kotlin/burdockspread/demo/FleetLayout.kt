/** Addresses and settings of the processes of a fleet. */
package burdockspread.demo

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** An entry host of a fleet. */
public data class EntryLayout(
    public val name: String,
    public val failureDomain: String,
    public val caller: String = Ports.freeAddress(),
    public val operator: String = Ports.freeAddress(),
    public val peer: String = Ports.freeAddress(),
)

/** An engine of a fleet. */
public data class EngineLayout(
    public val name: String,
    public val failureDomain: String,
    public val address: String = Ports.freeAddress(),
)

/** A steward of a fleet. */
public data class StewardLayout(
    public val name: String,
    public val failureDomain: String,
    public val operator: String = Ports.freeAddress(),
)

/** The processes of a fleet and the addresses they listen on. */
public data class FleetLayout(
    public val store: String = Ports.freeAddress(),
    public val desk: String = Ports.freeAddress(),
    public val entries: ImmutableList<EntryLayout>,
    public val engines: ImmutableList<EngineLayout>,
    public val batchSlots: Int = 8,
) {
    /** Names of the failure domains. */
    public val domains: ImmutableList<String>
        get() = entries.map { it.failureDomain }.distinct().toImmutableList()

    public companion object {
        /** Creates a layout with one entry host and one engine in each of [domains]. */
        public fun of(vararg domains: String): FleetLayout = FleetLayout(
            entries = domains.map { EntryLayout("$it-1", it) }.toImmutableList(),
            engines = domains.map { EngineLayout("$it-llm-1", it) }.toImmutableList(),
        )
    }
}
