package medlarroute.dispatch

/**
 * Carries out calls one after the other: one that arrives during another is carried out after it.
 *
 * If a call throws, the exception reaches the caller of the outermost [run], and the calls that wait are carried out
 * first by the next one.
 */
internal class SequentialCalls {
    private val waiting = ArrayDeque<() -> Unit>()
    private var isRunning = false

    fun run(call: () -> Unit) {
        waiting.addLast(call)
        if (isRunning) return
        isRunning = true
        try {
            while (true) {
                val next = waiting.removeFirstOrNull() ?: break
                next()
            }
        } finally {
            isRunning = false
        }
    }
}
