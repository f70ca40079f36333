package medlarroute.server

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.Endpoint
import com.linecorp.armeria.common.SessionProtocol
import com.linecorp.armeria.common.util.EventLoopGroups
import medlarroute.core.BackendId
import medlarroute.core.BackendSettings
import medlarroute.core.Effect
import medlarroute.core.Input
import medlarroute.core.NotStartedReason
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Sends tasks to backend servers over HTTP/2, with one connection for each backend server.
 *
 * Every [start] ends in exactly one of [Input.TaskDone], [Input.TaskFailed], [Input.TaskNotStarted] and
 * [Input.TaskLost], offered to [sink]. Thread-safe and non-blocking.
 *
 * @param elapsed time base of [Effect.Start.decidedAt].
 */
internal class BackendClient(
    private val settings: BackendSettings,
    private val addresses: BackendAddresses,
    private val sink: InputSink,
    private val elapsed: () -> Duration,
    private val observer: BackendObserver = BackendObserver.None,
) : AutoCloseable {
    private val threads = EventLoopGroups.newEventLoopGroup(settings.threads, "backend")
    private val factory = ClientFactory.builder()
        .workerGroup(threads, false)
        .maxNumEventLoopsPerEndpoint(1)
        .connectTimeoutMillis(settings.connectTimeoutMs)
        .idleTimeoutMillis(IDLE_LIMIT_MS)
        .build()
    private val lanes = ConcurrentHashMap<BackendId, BackendLane>()

    /** Sends the task unless the decision is too old or no address is known. */
    fun start(start: Effect.Start) {
        try {
            val lane = laneOf(start.backend)
            if (lane != null) return lane.start(start)
        } catch (e: RuntimeException) {
            // Nothing was handed to the lane: its address can't be used, or its event loop has ended.
            loggedWith(start.task.submission) { log.warn("backend: no task can be sent to {}", start.backend, e) }
        }
        observer.notStarted(NotStartedReason.NOT_DELIVERED)
        sink.offer(Input.TaskNotStarted(start.task, NotStartedReason.NOT_DELIVERED))
    }

    /** Tells the backend server to stop the task; best effort. */
    fun stop(stop: Effect.Stop) {
        lanes[stop.backend]?.stop(stop.task)
    }

    override fun close() {
        factory.close()
        threads.shutdownGracefully(0, SHUTDOWN_LIMIT_MS, TimeUnit.MILLISECONDS)
    }

    private fun laneOf(id: BackendId): BackendLane? {
        val address = addresses.addressOf(id) ?: return lanes[id]
        return lanes.compute(id) { _, lane -> lane?.takeIf { it.address == address } ?: open(address) }
    }

    private fun open(address: BackendAddress): BackendLane {
        val endpoint = Endpoint.of(address.host, address.port)
        // Held for the life of the lane, so that the requests of an endpoint share one event loop and connection.
        val eventLoop = factory.acquireEventLoop(SessionProtocol.H2C, endpoint, endpoint).get()
        return BackendLane(address, factory, eventLoop, settings, sink, elapsed, observer)
    }

    private companion object {
        val log = LogManager.getLogger(BackendClient::class.java)

        /** All entry instances together may hold 64 connections to a backend server, so unused ones are closed. */
        const val IDLE_LIMIT_MS = 60_000L
        const val SHUTDOWN_LIMIT_MS = 1_000L
    }
}
