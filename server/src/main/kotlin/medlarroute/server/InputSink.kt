package medlarroute.server

import medlarroute.core.Input

/** Where the parts of the server put what the engine must know. Thread-safe and non-blocking. */
internal fun interface InputSink {
    fun offer(input: Input)
}
