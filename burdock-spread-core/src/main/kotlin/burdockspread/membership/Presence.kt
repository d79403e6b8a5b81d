/** Order of the states in which hosts and targets are reported. */
package burdockspread.membership

/** How sure the reporter is that the subject still runs. */
public enum class Suspicion {
    /** It answers. */
    NONE,

    /** A connection to it was refused; the subject or whoever hears it may refute that. */
    SUSPECT,

    /** It is gone, until it or whoever hears it refutes that. */
    DEAD,
}

/** State of a host or target as others treat it. */
public enum class MemberState {
    /** Takes new work. */
    LIVE,

    /** May be gone; takes no new work for now. */
    SUSPECT,

    /** Finishes what it has and takes no new work. */
    LEAVING,

    /** Gone. */
    DEAD,
}

/**
 * What is known about one host or target. Whichever of two compares higher wins everywhere: a new
 * incarnation beats everything of an old one, then leaving beats live, then the higher refutation,
 * then the greater suspicion.
 *
 * @property incarnation epoch milliseconds of the start of the subject's process, or higher.
 * @property leaving whether the subject is stopping; final for the incarnation.
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

    /** The state to act on. */
    public val state: MemberState
        get() =
            when {
                suspicion == Suspicion.DEAD -> MemberState.DEAD
                leaving -> MemberState.LEAVING
                suspicion == Suspicion.SUSPECT -> MemberState.SUSPECT
                else -> MemberState.LIVE
            }

    /** The same order as a number, used as the version of the entry that carries it. */
    public val version: Long
        get() = (
            ((incarnation shl 1) or leaving.toLong()) shl REFUTATION_BITS or
                refutation.toLong()
            ) shl SUSPICION_BITS or suspicion.ordinal.toLong()

    override fun compareTo(other: Presence): Int = version.compareTo(other.version)

    /** The presence that refutes the suspicion in this one. */
    public fun refuted(): Presence = when {
        suspicion == Suspicion.NONE -> this
        refutation == MAX_REFUTATION ->
            Presence(incarnation + 1, leaving)
        else -> copy(refutation = refutation + 1, suspicion = Suspicion.NONE)
    }

    public companion object {
        /** Highest number of refutations of one incarnation. */
        public const val MAX_REFUTATION: Int = 0xFFFF

        private const val INCARNATION_BITS = 42
        private const val REFUTATION_BITS = 16
        private const val SUSPICION_BITS = 2
        private const val MAX_INCARNATION = (1L shl INCARNATION_BITS) - 1

        /** The presence whose [Presence.version] is [version]. */
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
