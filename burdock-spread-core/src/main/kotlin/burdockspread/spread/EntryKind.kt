/** Kinds of entries that entry hosts exchange by gossip. */
package burdockspread.spread

/** Dissemination scope of the entries of a kind. */
public enum class EntryScope {
    /** To all hosts, by gossip. */
    EVERYWHERE,

    /** To the hosts in the failure domain of the origin, pushed directly by the origin. */
    FAILURE_DOMAIN,
}

/**
 * Kind of an entry.
 *
 * @property wireNumber number of the kind in messages; numbers are never reused.
 * @property scope dissemination scope of the entries.
 * @property usesAntiEntropy whether hosts compare their entries and fetch those that they missed.
 * Entries of the other kinds are soft state: their origin publishes them again every few seconds,
 * and they expire when it stops.
 */
public enum class EntryKind(
    public val wireNumber: Int,
    public val scope: EntryScope,
    public val usesAntiEntropy: Boolean,
) {
    /** A section of the document; the version is that of its object in the store. */
    SECTION(1, EntryScope.EVERYWHERE, true),

    /** Membership of an entry host; the version is its packed presence. */
    HOST(2, EntryScope.EVERYWHERE, true),

    /** State of a target; the version is its packed presence. */
    TARGET(3, EntryScope.EVERYWHERE, true),

    /** Summary of the load of a failure domain. */
    DOMAIN_LOAD(4, EntryScope.EVERYWHERE, false),

    /** Demand of a failure domain that counts against the limits of organisations. */
    DOMAIN_LIMIT(5, EntryScope.EVERYWHERE, false),

    /** Load of the targets that one host observes. */
    LOAD(6, EntryScope.FAILURE_DOMAIN, false),

    /** Demand at one host that counts against the limits of organisations. */
    LIMIT(7, EntryScope.FAILURE_DOMAIN, false),
    ;

    public companion object {
        private val byWireNumber = entries.associateBy { it.wireNumber }

        /** Returns the kind with [wireNumber], or null for a kind of a newer release. */
        public fun of(wireNumber: Int): EntryKind? = byWireNumber[wireNumber]
    }
}
