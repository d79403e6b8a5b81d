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
 * @property wireName name of the kind in messages.
 * @property scope how far entries travel.
 * @property repaired whether hosts compare their entries and fetch what they missed. Entries of the
 * other kinds are published again every few seconds and expire when their origin falls silent.
 */
public enum class EntryKind(
    public val wireName: String,
    public val scope: EntryScope,
    public val repaired: Boolean,
) {
    /** A section of the document; the version is that of its object in the store. */
    SECTION("section", EntryScope.EVERYWHERE, true),

    /** Membership of an entry host; the version packs its presence. */
    HOST("host", EntryScope.EVERYWHERE, true),

    /** State of a target; the version packs its presence. */
    TARGET("target", EntryScope.EVERYWHERE, true),

    /** Summary of a failure domain's load. */
    DOMAIN_LOAD("domain-load", EntryScope.EVERYWHERE, false),

    /** Demand of a failure domain against the organisations' limits. */
    DOMAIN_LIMIT("domain-limit", EntryScope.EVERYWHERE, false),

    /** Load of the targets that one host observes. */
    LOAD("load", EntryScope.FAILURE_DOMAIN, false),

    /** Demand at one host against the organisations' limits. */
    LIMIT("limit", EntryScope.FAILURE_DOMAIN, false),
    ;

    public companion object {
        private val byWireName = entries.associateBy { it.wireName }

        /** The kind with [wireName], or null for a kind of a newer version of the system. */
        public fun of(wireName: String): EntryKind? = byWireName[wireName]
    }
}
