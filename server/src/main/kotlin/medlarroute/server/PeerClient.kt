package medlarroute.server

import com.google.common.util.concurrent.FutureCallback
import com.google.common.util.concurrent.Futures
import com.google.common.util.concurrent.ListenableFuture
import com.google.common.util.concurrent.MoreExecutors
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.grpc.GrpcClients
import io.grpc.stub.StreamObserver
import medlarroute.core.PeerSettings
import medlarroute.peer.ForwardReply
import medlarroute.peer.ForwardRequest
import medlarroute.peer.GetRulesReply
import medlarroute.peer.GetRulesRequest
import medlarroute.peer.HandOverBatch
import medlarroute.peer.HandOverReply
import medlarroute.peer.HeartbeatMessage
import medlarroute.peer.PeerGrpc
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Address on which an entry instance listens for its peers. */
internal data class PeerAddress(val host: String, val port: Int)

/** Client for calls to other entry instances. Every call ends within its timeout. Thread-safe. */
internal class PeerClient(private val factory: ClientFactory, silentAfter: Duration) {
    private val watchdog = ConnectionWatchdog(silentAfter)
    private val futureStubs = ConcurrentHashMap<PeerAddress, PeerGrpc.PeerFutureStub>()
    private val streamStubs = ConcurrentHashMap<PeerAddress, PeerGrpc.PeerStub>()

    fun forward(to: PeerAddress, request: ForwardRequest, timeout: Duration): CompletableFuture<ForwardReply> =
        completable(stub(to, timeout).forward(request))

    fun heartbeat(to: PeerAddress, request: HeartbeatMessage, timeout: Duration): CompletableFuture<HeartbeatMessage> =
        completable(stub(to, timeout).heartbeat(request))

    fun getRules(to: PeerAddress, request: GetRulesRequest, timeout: Duration): CompletableFuture<GetRulesReply> =
        completable(stub(to, timeout).getRules(request))

    /** Opens a hand-over; the caller writes the batches to the returned observer. */
    fun handOver(
        to: PeerAddress,
        replies: StreamObserver<HandOverReply>,
        timeout: Duration,
    ): StreamObserver<HandOverBatch> {
        limitStubs(streamStubs)
        val stub = streamStubs.computeIfAbsent(to) { newStub(it, PeerGrpc.PeerStub::class.java) }
        return stub.withDeadlineAfter(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS).handOver(replies)
    }

    private fun stub(to: PeerAddress, timeout: Duration): PeerGrpc.PeerFutureStub {
        limitStubs(futureStubs)
        return futureStubs.computeIfAbsent(to) { newStub(it, PeerGrpc.PeerFutureStub::class.java) }
            .withDeadlineAfter(timeout.inWholeMilliseconds.coerceAtLeast(1), TimeUnit.MILLISECONDS)
    }

    private fun <T : Any> newStub(to: PeerAddress, type: Class<T>): T =
        GrpcClients.builder("gproto+http://${to.host}:${to.port}/")
            .factory(factory)
            .maxResponseLength(MAX_MESSAGE_BYTES)
            .responseTimeoutMillis(0)
            .decorator(watchdog::execute)
            .build(type)

    /** Clears all stubs when there are too many; those in use hold no connection and are created again. */
    private fun limitStubs(stubs: MutableMap<PeerAddress, *>) {
        if (stubs.size > MAX_STUBS) stubs.clear()
    }

    private fun <T> completable(call: ListenableFuture<T>): CompletableFuture<T> {
        val result = CompletableFuture<T>()
        val callback = object : FutureCallback<T> {
            override fun onSuccess(value: T) {
                result.complete(value)
            }

            override fun onFailure(cause: Throwable) {
                result.completeExceptionally(cause)
            }
        }
        Futures.addCallback(call, callback, MoreExecutors.directExecutor())
        return result
    }

    companion object {
        /** Enough for a job of 110 tasks with payloads or outputs of 64 KiB each, as JSON. */
        const val MAX_MESSAGE_BYTES = 16L * 1024 * 1024
        private const val MAX_STUBS = 256

        /**
         * Longer than the time between two heartbeats of the same pair of peers, about 10 s with 32 instances, since a
         * new connection costs more bytes than the heartbeat itself.
         */
        const val IDLE_TIMEOUT_MS = 60_000L

        /** Creates the client factory for connections to peers and to the platform. */
        fun factory(settings: PeerSettings): ClientFactory = ClientFactory.builder()
            .connectTimeoutMillis(settings.connectTimeoutMs)
            .idleTimeoutMillis(IDLE_TIMEOUT_MS)
            .build()
    }
}
