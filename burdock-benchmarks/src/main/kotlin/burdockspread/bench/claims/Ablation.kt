/** Ablations, which show that the invariants depend on each mechanism. */
package burdockspread.bench.claims

/** The mechanism of the chosen design that a schedule leaves out. */
internal enum class Ablation(val label: String) {
    NONE("chosen design"),
    LOST_IS_REFUSED("a lost answer counts as a refused write"),
    LOST_IS_WRITTEN("a lost answer counts as a write that is in"),
    NO_CONDITION("writes without the conditional update"),
    EVERY_ASK_IS_FIRST("each ask counts as the first with its key"),
    PERMIT_UNCHECKED("a call is sent without taking its permit"),
}
