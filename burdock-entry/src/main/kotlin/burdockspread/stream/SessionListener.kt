/** Forwarding of events from a generation's core. */
package burdockspread.stream

import burdockspread.generation.DropReason
import burdockspread.generation.GenerationListener
import burdockspread.id.AttemptNumber
import burdockspread.id.TargetId
import burdockspread.observe.EntryListener
import burdockspread.observe.GenerationTag

/** Forwards the events of a generation's core, together with the generation's ids. */
internal class SessionListener(
    private val listener: EntryListener,
    private val tag: GenerationTag,
) : GenerationListener {
    override fun onTokensDropped(attempt: AttemptNumber, reason: DropReason, tokens: Int): Unit =
        listener.onAttemptTokensDropped(tag, attempt, reason, tokens)

    override fun onAttemptStalled(attempt: AttemptNumber, target: TargetId?): Unit =
        listener.onAttemptFailed(tag, attempt, target, "STALLED")
}
