package medlarroute.dispatch

import medlarroute.dispatch.evacuation.EvacuatedDomains
import medlarroute.dispatch.evacuation.EvacuationState

/** Puts the latest configuration in force, but none before the evacuated failure domains are known. */
internal class ConfigurationGate(
    private val dispatcher: Dispatcher,
    private val evacuation: EvacuationState,
    private val log: EventLog,
) {
    /** The configuration in force; null until there is one. */
    var current: DispatchConfiguration? = null
        private set

    /** A configuration that is not in force yet since the evacuated failure domains are unknown. */
    private var pending: DispatchConfiguration? = null

    /** As without a configuration, this instance starts no task before it knows the evacuated failure domains. */
    fun onConfiguration(next: DispatchConfiguration) {
        if (evacuation.current == null) {
            if (next.version > (pending?.version ?: 0)) pending = next
            return
        }
        val previous = current
        if (previous != null && next.version <= previous.version) return
        current = next
        log.event(
            "configuration",
            "in-force",
            "version",
            next.version,
            "was",
            previous?.version,
            "queues",
            next.queues.size,
        )
        dispatcher.configure(next)
    }

    /** Takes over [next] unless it is older than the known set. */
    fun onEvacuated(next: EvacuatedDomains, source: String) {
        if (!evacuation.offer(next, source)) return
        dispatcher.evacuation.evacuate(evacuation.active, dispatcher.nowMs())
        pending?.let(::onConfiguration)
        pending = null
    }
}
