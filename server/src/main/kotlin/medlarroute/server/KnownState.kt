package medlarroute.server

import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.Input
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.atomic.AtomicLong

/** What the engine was told of rules and backend servers, for status and readiness. Thread-safe. */
internal class KnownState {
    private class Backend(val info: BackendServer, val leaving: Boolean)

    private val backends = ConcurrentSkipListMap<String, Backend>()
    private val version = AtomicLong(NONE)

    /** Version of the rules in force; null before the first. */
    val rulesVersion: Long? get() = version.get().takeIf { it != NONE }

    fun backends(): List<BackendStatus> =
        backends.values.map { BackendStatus(it.info.id.value, it.info.failureDomain.value, it.info.slots, it.leaving) }

    fun note(input: Input) {
        when (input) {
            is Input.RulesChanged -> version.accumulateAndGet(input.rules.version, ::maxOf)
            is Input.BackendServing -> backends[input.backend.id.value] = Backend(input.backend, leaving = false)
            is Input.BackendLeaving -> leave(input.backend)
            is Input.BackendRemoved -> backends.remove(input.backend.value)
            else -> Unit
        }
    }

    private fun leave(id: BackendId) {
        backends.computeIfPresent(id.value) { _, backend -> Backend(backend.info, leaving = true) }
    }

    private companion object {
        const val NONE = -1L
    }
}
