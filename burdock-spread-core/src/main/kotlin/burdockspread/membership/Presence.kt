/** Reported states of hosts and targets, and their order of precedence. */
package burdockspread.membership

/** Suspicion that a host or target is no longer running. */
public enum class Suspicion {
    /** It responds. */
    NONE,

    /** Connections were refused or requests timed out; may be refuted as described in [DEAD]. */
    SUSPECT,

    /** It is gone, unless the subject, or a host that gets a response from it, refutes that. */
    DEAD,
}

/** Effective state of a host or target. */
public enum class MemberState {
    /** Accepts new work. */
    LIVE,

    /** May be gone; gets no new work for now. */
    SUSPECT,

    /** Drains: finishes its current work and gets no new work. */
    LEAVING,

    /** Gone. */
    DEAD,
}

/**
 * Reported state of one host or target. All hosts keep the highest of the reports that they
 * receive: a newer incarnation takes precedence over everything of an older one, then leaving over
 * live, then the higher refutation count, then the stronger suspicion.
 *
 * @property incarnation start of the subject's process in epoch milliseconds, or higher.
 * @property leaving whether the subject is leaving; final for the incarnation.
 * @property refutation number of suspicions refuted so far, at most [MAX_REFUTATION].
 */
public data class Presence(
    public val incarnation: Long,
    public val leaving: Boolean = false,
    public val refutation: Int = 0,
    public val suspicion: Suspicion = Suspicion.NONE,
) : Comparable<Presence> {
    init {
        require(incarnation in 0..MAX_INCARNATION) { "incarnation $incarnation is out of range" }
        require(refutation in 0..MAX_REFUTATION) { "refutation $refutation is out of range" }
    }

    /** The effective state. */
    public val state: MemberState
        get() =
            when {
                suspicion == Suspicion.DEAD -> MemberState.DEAD
                leaving -> MemberState.LEAVING
                suspicion == Suspicion.SUSPECT -> MemberState.SUSPECT
                else -> MemberState.LIVE
            }

    /** The fields packed in order of precedence; the version of the gossip entry. */
    public val version: Long
        get() = (
            ((incarnation shl 1) or leaving.toLong()) shl REFUTATION_BITS or
                refutation.toLong()
            ) shl SUSPICION_BITS or suspicion.ordinal.toLong()

    override fun compareTo(other: Presence): Int = version.compareTo(other.version)

    /** Returns a presence that refutes the suspicion of this one. */
    public fun refuted(): Presence = when {
        suspicion == Suspicion.NONE -> this
        refutation == MAX_REFUTATION ->
            Presence(incarnation + 1, leaving)
        else -> copy(refutation = refutation + 1, suspicion = Suspicion.NONE)
    }

    public companion object {
        /** Maximum number of refutations of one incarnation. */
        public const val MAX_REFUTATION: Int = 0xFFFF

        private const val INCARNATION_BITS = 42
        private const val REFUTATION_BITS = 16
        private const val SUSPICION_BITS = 2
        private const val MAX_INCARNATION = (1L shl INCARNATION_BITS) - 1

        /** Returns the presence whose [Presence.version] is [version]. */
        public fun ofVersion(version: Long): Presence {
            val suspicion = (version and ((1L shl SUSPICION_BITS) - 1)).toInt()
            val refutation = (version shr SUSPICION_BITS) and MAX_REFUTATION.toLong()
            val rest = version shr (SUSPICION_BITS + REFUTATION_BITS)
            return Presence(
                incarnation = rest shr 1,
                leaving = rest and 1L == 1L,
                refutation = refutation.toInt(),
                suspicion = Suspicion.entries.getOrElse(suspicion) { Suspicion.DEAD },
            )
        }

        private fun Boolean.toLong() = if (this) 1L else 0L
    }
}
