package medlarroute.server

import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.json.JsonObject
import medlarroute.core.FailureCode
import medlarroute.core.Job
import medlarroute.core.RegistryExport
import medlarroute.core.Settings
import medlarroute.core.SubmissionRegistry
import medlarroute.core.SuccessorRecords
import java.util.concurrent.CompletableFuture

/** What an entry instance shares with its [Extension]. */
internal class InstanceParts(
    val settings: Settings,
    val identity: SubmissionRegistry.Home,
    val engine: InputSink,
    val registry: SubmissionRegistry,
    val successors: SuccessorRecords,
    val home: HomeHandler,
)

/**
 * The part of an entry instance that connects it to its peers and the platform.
 *
 * Lifecycle: [start] once, [drainStarted] when new jobs are refused, [handOver] when all jobs have ended, [stop] last.
 * After [handOver] the instance still serves requests of callers for a short time.
 */
internal interface Extension {
    val forwarder: RequestForwarder
    val claims: ClaimHandler

    /** Addresses of backend servers that the embedding code did not supply. */
    val addresses: BackendAddresses

    /** Adds services to the operators' port. */
    fun addOperatorServices(server: ServerBuilder)

    /** Called before callers are served. */
    fun start()

    /** Reasons why the instance is not ready to serve callers; empty if it is ready. */
    fun notReadyReasons(): List<String>

    /** The part `peers` of `/v1/status`. */
    fun status(): JsonObject

    /** A new job was submitted, admitted or not. */
    fun jobSubmitted(job: Job)

    /** A backend server replied. */
    fun backendReplied(reply: BackendReply)

    /** The instance refuses new jobs from now on. */
    fun drainStarted()

    /** Sends [records] to a successor; completes with whether one received them. Never completes exceptionally. */
    fun handOver(records: RegistryExport): CompletableFuture<Boolean>

    /** Stops after the requests in flight from and to peers have ended. */
    fun stop()
}

/** An instance without peers and platform. */
internal class Standalone : Extension {
    override val forwarder = RequestForwarder {
        val detail = "the home of the ticket is not this instance, and this instance has no peers"
        CompletableFuture.completedFuture(ReplyJson.failure(it.submission, FailureCode.HOME_LOST, detail))
    }
    override val claims = ClaimHandler.Unavailable
    override val addresses = BackendAddresses { null }

    override fun addOperatorServices(server: ServerBuilder): Unit = Unit

    override fun start(): Unit = Unit

    override fun notReadyReasons(): List<String> = emptyList()

    override fun status(): JsonObject = JsonObject(emptyMap())

    override fun jobSubmitted(job: Job): Unit = Unit

    override fun backendReplied(reply: BackendReply): Unit = Unit

    override fun drainStarted(): Unit = Unit

    override fun handOver(records: RegistryExport): CompletableFuture<Boolean> =
        CompletableFuture.completedFuture(false)

    override fun stop(): Unit = Unit
}
