package medlarroute.dispatch

/**
 * Returns a timer's [action] that is safe to schedule repeatedly: an executor drops a timer whose action throws.
 *
 * The timer continues after an exception, a stack overflow or a failed assertion, which concern one call only. Errors
 * that the process does not recover from end it by [exit], so that another instance takes over what it owns.
 */
internal fun guardedTimer(log: EventLog, exit: (status: Int) -> Unit, action: () -> Unit) = Runnable {
    try {
        action()
    } catch (e: Throwable) {
        if (!isFatal(e)) return@Runnable logFailure(log, "tick-failed", e)
        try {
            logFailure(log, "fatal-error", e)
        } finally {
            exit(FATAL_ERROR_STATUS)
        }
    }
}

/** Exit status of a process that has no memory left, or whose virtual machine or classes are broken. */
internal const val FATAL_ERROR_STATUS = 3

private fun isFatal(failure: Throwable): Boolean = when (failure) {
    is StackOverflowError -> false
    is VirtualMachineError, is LinkageError -> true
    else -> false
}

private fun logFailure(log: EventLog, event: String, failure: Throwable) =
    log.event("instance", event, "error", failure.toString(), "at", failure.stackTrace.firstOrNull())
