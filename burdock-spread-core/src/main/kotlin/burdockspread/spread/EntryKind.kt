/** Kinds of entries that entry hosts spread among themselves. */
package burdockspread.spread

/** How far the entries of a kind travel. */
public enum class EntryScope {
    /** To every host. */
    EVERYWHERE,

    /** To the hosts of the origin's failure domain, sent directly by the origin. */
    FAILURE_DOMAIN,
}

/**
 * Kind of an entry.
 *
 * @property wireNumber number of the kind in messages; numbers are never reused.
 * @property scope how far entries travel.
 * @property repaired whether hosts compare their entries and fetch what they missed. Entries of the
 * other kinds are published again every few seconds and expire when their origin falls silent.
 */
public enum class EntryKind(
    public val wireNumber: Int,
    public val scope: EntryScope,
    public val repaired: Boolean,
) {
    /** A section of the document; the version is that of its object in the store. */
    SECTION(1, EntryScope.EVERYWHERE, true),

    /** Membership of an entry host; the version packs its presence. */
    HOST(2, EntryScope.EVERYWHERE, true),

    /** State of a target; the version packs its presence. */
    TARGET(3, EntryScope.EVERYWHERE, true),

    /** Summary of a failure domain's load. */
    DOMAIN_LOAD(4, EntryScope.EVERYWHERE, false),

    /** Demand of a failure domain against the organisations' limits. */
    DOMAIN_LIMIT(5, EntryScope.EVERYWHERE, false),

    /** Load of the targets that one host observes. */
    LOAD(6, EntryScope.FAILURE_DOMAIN, false),

    /** Demand at one host against the organisations' limits. */
    LIMIT(7, EntryScope.FAILURE_DOMAIN, false),
    ;

    public companion object {
        private val byWireNumber = entries.associateBy { it.wireNumber }

        /** The kind with [wireNumber], or null for a kind of a newer version of the system. */
        public fun of(wireNumber: Int): EntryKind? = byWireNumber[wireNumber]
    }
}
