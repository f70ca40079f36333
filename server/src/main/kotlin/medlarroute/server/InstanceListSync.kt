package medlarroute.server

import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture

/** Updates the members from the platform's list of instances. A failed read changes nothing. */
internal class InstanceListSync(private val platform: PlatformClient, private val members: MemberTable) {
    @Volatile
    private var etag: String? = null

    /** Reads the list once; completes with true if the platform answered. */
    fun poll(): CompletableFuture<Boolean> = platform.instances(etag).thenApply { result ->
        result.fold({ failed(it) }, { fetched(it) })
    }

    private fun failed(error: PlatformError): Boolean {
        log.debug("platform: the list of instances could not be read: {}", error)
        return false
    }

    private fun fetched(found: Fetched<InstanceListBody>): Boolean {
        when (found) {
            is Fetched.Present -> {
                etag = found.etag
                members.listFetched(found.value.toList())
            }

            is Fetched.Unchanged -> members.listUnchanged()

            is Fetched.Absent -> Unit
        }
        return true
    }

    private companion object {
        val log = LogManager.getLogger(InstanceListSync::class.java)
    }
}
