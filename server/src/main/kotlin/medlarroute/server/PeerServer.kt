package medlarroute.server

import com.google.protobuf.ByteString
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.grpc.GrpcService
import io.grpc.Status
import io.grpc.stub.StreamObserver
import medlarroute.core.CallerId
import medlarroute.core.FailureCode
import medlarroute.core.PeerSettings
import medlarroute.core.SubmissionId
import medlarroute.core.SuccessorRecords
import medlarroute.peer.ForwardReply
import medlarroute.peer.ForwardRequest
import medlarroute.peer.GetRulesReply
import medlarroute.peer.GetRulesRequest
import medlarroute.peer.HandOverBatch
import medlarroute.peer.HandOverReply
import medlarroute.peer.HeartbeatMessage
import medlarroute.peer.PeerGrpc
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.milliseconds

/** Serves the calls of other entry instances. */
internal class PeerService(
    private val members: MemberTable,
    private val home: HomeHandler,
    private val successors: SuccessorRecords,
    private val failure: FailureReply,
    private val heartbeats: HeartbeatExchange,
    private val rules: RulesState,
) : PeerGrpc.PeerImplBase() {
    override fun forward(request: ForwardRequest, replies: StreamObserver<ForwardReply>) {
        val callerRequest = callerRequest(request)
            ?: return replies.onError(Status.INVALID_ARGUMENT.withDescription("malformed request").asException())
        val requestedHome = callerRequest.submission.ticket.home
        if (requestedHome != members.self.home && requestedHome !in successors.homes()) {
            val detail = "the request reached an instance that is not the home of the ticket and has no records of it"
            return reply(replies, failure(callerRequest.submission, FailureCode.HOME_LOST, detail))
        }
        home.handle(callerRequest).whenComplete { reply, cause ->
            if (cause == null) reply(replies, reply) else replies.onError(Status.INTERNAL.asException())
        }
    }

    override fun heartbeat(request: HeartbeatMessage, replies: StreamObserver<HeartbeatMessage>) {
        replies.onNext(heartbeats.reply(request.toHeartbeat()).toMessage())
        replies.onCompleted()
    }

    override fun getRules(request: GetRulesRequest, replies: StreamObserver<GetRulesReply>) {
        val current = rules.current?.takeIf { it.version > request.knownVersion }
        val reply = GetRulesReply.newBuilder()
        current?.let { reply.setVersion(it.version).setText(it.text) }
        replies.onNext(reply.build())
        replies.onCompleted()
    }

    override fun handOver(replies: StreamObserver<HandOverReply>): StreamObserver<HandOverBatch> =
        HandOverReceiver(replies) { export ->
            successors.add(export)
            members.successorFound(members.self.toSuccessorNotice(export.home))
        }

    private fun callerRequest(request: ForwardRequest): CallerRequest? {
        val submission = SubmissionId.parseOrNull(request.submission) ?: return null
        val operation = Operation.entries.firstOrNull { it.name == request.operation.name } ?: return null
        val timeout = request.timeoutMs.milliseconds
        return CallerRequest(operation, submission, CallerId(request.caller), request.body.toByteArray(), timeout)
    }

    private fun reply(replies: StreamObserver<ForwardReply>, reply: CallerReply) {
        val body = ByteString.copyFrom(reply.body)
        replies.onNext(ForwardReply.newBuilder().setHttpStatus(reply.httpStatus).setBody(body).build())
        replies.onCompleted()
    }
}

/** Server on the port for other entry instances. */
internal class PeerServer(settings: PeerSettings, service: PeerService) {
    private val server = Server.builder()
        .http(InetSocketAddress(settings.host, settings.port))
        .requestTimeoutMillis(0)
        .maxRequestLength(0)
        .idleTimeoutMillis(2 * PeerClient.IDLE_TIMEOUT_MS)
        // Peers that cancel calls are normal; Armeria would report them as unhandled exceptions.
        .unhandledExceptionsReportIntervalMillis(0)
        .service(
            GrpcService.builder()
                .addService(service)
                .maxRequestMessageLength(PeerClient.MAX_MESSAGE_BYTES.toInt())
                .useClientTimeoutHeader(false)
                .build(),
        )
        // Requests still in progress at the end of the drain get their reply.
        .gracefulShutdownTimeoutMillis(QUIET_PERIOD_MS, settings.deadAfterMs)
        .build()

    /** Port for peers; available after [start]. */
    val port: Int get() = server.activeLocalPort()

    fun start() {
        server.start().join()
    }

    /** Completes when no request is in progress and the port is closed. */
    fun stop(): CompletableFuture<Void> = server.stop()

    private companion object {
        const val QUIET_PERIOD_MS = 50L
    }
}
