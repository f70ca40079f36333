package medlarroute.core

/** Keeps the backend server table in step with membership. */
internal class BackendSystem(private val tables: Tables) {
    fun seen(info: BackendServer) {
        val row = tables.backends.getOrPut(info.id) { BackendRow(info) }
        row.info = info
        row.leaving = false
    }

    fun leaving(id: BackendId) {
        tables.backends[id]?.leaving = true
    }

    /** Running tasks go on: the list lags, and their replies may still come. */
    fun removed(id: BackendId) {
        tables.backends[id]?.leaving = true
    }
}
