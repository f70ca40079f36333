package medlarroute.server

import medlarroute.core.Input

/** Accepts inputs for the engine. Thread-safe and non-blocking. */
internal fun interface InputSink {
    fun offer(input: Input)
}
