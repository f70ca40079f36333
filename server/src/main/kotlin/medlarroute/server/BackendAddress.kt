package medlarroute.server

import medlarroute.core.BackendId

/** Address on which a backend server listens. */
internal data class BackendAddress(val id: BackendId, val host: String, val port: Int)

/** Looks up addresses of backend servers; returns null for an unknown one. Thread-safe. */
internal fun interface BackendAddresses {
    fun addressOf(id: BackendId): BackendAddress?
}
