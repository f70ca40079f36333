package medlarroute.server

import medlarroute.core.BackendId

/** Where a backend server listens. */
internal data class BackendAddress(val id: BackendId, val host: String, val port: Int)

/** Tells addresses of backend servers; null for one that is not known. Thread-safe. */
internal fun interface BackendAddresses {
    fun addressOf(id: BackendId): BackendAddress?
}
