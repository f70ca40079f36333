package medlarroute.server

import com.google.protobuf.ByteString
import io.grpc.Status
import io.grpc.StatusRuntimeException
import medlarroute.core.EntryMember
import medlarroute.core.FailureCode
import medlarroute.core.HomeRoute
import medlarroute.core.SubmissionId
import medlarroute.peer.ForwardRequest
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture

/** Creates the reply for a submission that failed and may have run. */
internal typealias FailureReply = (SubmissionId?, FailureCode, String) -> CallerReply

/**
 * Forwards requests to their home, or to the successor of a stopped home.
 *
 * A reply that it creates itself always says "failed, may have run", since the request or a duplicate of it may have
 * reached the home.
 */
internal class PeerForwarder(
    private val members: MemberTable,
    private val client: PeerClient,
    private val local: HomeHandler,
    private val failure: FailureReply,
) : RequestForwarder {
    override fun forward(request: CallerRequest): CompletableFuture<CallerReply> =
        when (val route = members.route(request.submission.ticket.home)) {
            is HomeRoute.Self -> local.handle(request)
            is HomeRoute.Home -> send(request, route.member, toSuccessor = false)
            is HomeRoute.Successor -> send(request, route.member, toSuccessor = true)
            is HomeRoute.Lost -> completed(failure(request.submission, FailureCode.HOME_LOST, route.reason))
        }

    private fun send(request: CallerRequest, to: EntryMember, toSuccessor: Boolean): CompletableFuture<CallerReply> {
        log.debugAbout(request.submission) { "peer: ${request.operation} forwarded to ${to.instance}" }
        val address = PeerAddress(to.host, to.peerPort)
        val call = client.forward(address, message(request, toSuccessor), request.timeout)
        return call.handle { reply, cause ->
            if (cause == null) CallerReply(reply.httpStatus, reply.body.toByteArray()) else failed(request, to, cause)
        }
    }

    private fun failed(request: CallerRequest, to: EntryMember, cause: Throwable): CallerReply {
        val status = (cause as? StatusRuntimeException)?.status ?: Status.fromThrowable(cause)
        if (status.code == Status.Code.DEADLINE_EXCEEDED) {
            return failure(request.submission, FailureCode.DEADLINE, "the home ${to.instance} did not answer in time")
        }
        loggedWith(request.submission) { log.warn("peer: forwarding to {} failed: {}", to.instance, status) }
        return failure(request.submission, FailureCode.HOME_LOST, "the home ${to.instance} can't be reached")
    }

    private fun message(request: CallerRequest, toSuccessor: Boolean): ForwardRequest = ForwardRequest.newBuilder()
        .setOperation(medlarroute.peer.Operation.valueOf(request.operation.name))
        .setSubmission(request.submission.toString())
        .setCaller(request.caller.value)
        .setBody(ByteString.copyFrom(request.body))
        .setTimeoutMs(request.timeout.inWholeMilliseconds)
        .setToSuccessor(toSuccessor)
        .setHomeIncarnation(request.submission.ticket.incarnation.value)
        .build()

    private fun completed(reply: CallerReply) = CompletableFuture.completedFuture(reply)

    private companion object {
        val log = LogManager.getLogger(PeerForwarder::class.java)
    }
}
