/** Ways to leave a mechanism out, to show that the invariants depend on it. */
package burdockspread.bench.claims

/** What a schedule leaves out of the chosen design. */
internal enum class Weakening(val label: String) {
    NONE("chosen design"),
    LOST_IS_REFUSED("a lost answer counts as a refused write"),
    LOST_IS_WRITTEN("a lost answer counts as a write that is in"),
    NO_CONDITION("writes without the conditional update"),
    EVERY_ASK_IS_FIRST("each ask counts as the first with its key"),
    PERMIT_UNCHECKED("a call is sent without taking its permit"),
}
