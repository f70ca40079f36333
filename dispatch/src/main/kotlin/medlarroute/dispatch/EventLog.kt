package medlarroute.dispatch

/** Structured log with one event per decision. Implementations must not block and must limit their volume. */
public fun interface EventLog {
    /** Logs an [event] of a [part] of the system. [fields] are alternating names and values. */
    public fun event(part: String, event: String, vararg fields: Any?)
}
