package medlarroute.dispatch

/** Receives one structured line per decision. Implementations never block and bound their volume. */
public fun interface EventLog {
    /** [fields] are alternating names and values. */
    public fun event(part: String, event: String, vararg fields: Any?)
}
