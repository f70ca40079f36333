package medlarroute.server

import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.Input
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.atomic.AtomicLong

/** Tracks the rules version and the backend servers from the engine's inputs, for status and readiness. Thread-safe. */
internal class StatusTracker {
    private class Backend(val info: BackendServer, val leaving: Boolean)

    private val backends = ConcurrentSkipListMap<String, Backend>()
    private val version = AtomicLong(NO_VERSION)

    /** Version of the rules in force; null until there are rules. */
    val rulesVersion: Long? get() = version.get().takeIf { it != NO_VERSION }

    fun backends(): List<BackendStatus> =
        backends.values.map { BackendStatus(it.info.id.value, it.info.failureDomain.value, it.info.slots, it.leaving) }

    fun record(input: Input) {
        when (input) {
            is Input.RulesChanged -> version.accumulateAndGet(input.rules.version, ::maxOf)
            is Input.BackendServing -> backends[input.backend.id.value] = Backend(input.backend, leaving = false)
            is Input.BackendLeaving -> markLeaving(input.backend)
            is Input.BackendRemoved -> backends.remove(input.backend.value)
            else -> Unit
        }
    }

    private fun markLeaving(id: BackendId) {
        backends.computeIfPresent(id.value) { _, backend -> Backend(backend.info, leaving = true) }
    }

    private companion object {
        const val NO_VERSION = -1L
    }
}
