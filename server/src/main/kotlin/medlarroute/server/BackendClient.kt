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
 * Sends tasks to backend servers over HTTP/2, with one connection to each backend server.
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
    private val sessions = ConcurrentHashMap<BackendId, BackendSession>()

    /** Sends the task unless its decision is too old or the backend server has no known address. */
    fun start(start: Effect.Start) {
        try {
            val session = sessionOf(start.backend)
            if (session != null) return session.start(start)
        } catch (e: RuntimeException) {
            // The session received nothing: the address is unusable, or the event loop has been shut down.
            loggedWith(start.task.submission) { log.warn("backend: can't send tasks to {}", start.backend, e) }
        }
        observer.notStarted(NotStartedReason.NOT_DELIVERED)
        sink.offer(Input.TaskNotStarted(start.task, NotStartedReason.NOT_DELIVERED))
    }

    /** Requests that the backend server stop the task; best effort. */
    fun stop(stop: Effect.Stop) {
        sessions[stop.backend]?.stop(stop.task)
    }

    override fun close() {
        factory.close()
        threads.shutdownGracefully(0, SHUTDOWN_LIMIT_MS, TimeUnit.MILLISECONDS)
    }

    private fun sessionOf(id: BackendId): BackendSession? {
        val address = addresses.addressOf(id) ?: return sessions[id]
        return sessions.compute(id) { _, session -> session?.takeIf { it.address == address } ?: openSession(address) }
    }

    private fun openSession(address: BackendAddress): BackendSession {
        val endpoint = Endpoint.of(address.host, address.port)
        // Never released, so that all requests to an endpoint share one event loop and one connection.
        val eventLoop = factory.acquireEventLoop(SessionProtocol.H2C, endpoint, endpoint).get()
        return BackendSession(address, factory, eventLoop, settings, sink, elapsed, observer)
    }

    private companion object {
        val log = LogManager.getLogger(BackendClient::class.java)

        /** A backend server accepts 64 connections from all entry instances together, so idle ones are closed. */
        const val IDLE_LIMIT_MS = 60_000L
        const val SHUTDOWN_LIMIT_MS = 1_000L
    }
}
