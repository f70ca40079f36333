package medlarroute.server

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.util.Exceptions
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import medlarroute.core.CallerId
import medlarroute.core.FailureCode
import medlarroute.core.RefusalCode
import medlarroute.core.RegistrySettings
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The HTTP API for callers.
 *
 * Refusals created here name no submission, since a duplicate of the request may have reached the submission's home.
 */
internal class CallerApi(
    private val registrySettings: RegistrySettings,
    private val limits: JobLimits,
    private val authentication: CallerAuthentication,
    private val registry: SubmissionRegistry,
    private val isHandledHere: (SubmissionId) -> Boolean,
    private val home: HomeHandler,
    private val forwarder: RequestForwarder,
    private val claims: ClaimHandler,
) {
    /** Adds the routes of the API to [server]. */
    fun addTo(server: ServerBuilder) {
        server.route().post("/v1/tickets").build(authenticated { _, _, caller -> completed(openTicket(caller)) })
        server.route().post("/v1/jobs").build(authenticated(::submit))
        server.route().get(JOB_PATH).build(
            authenticated { context, _, caller ->
                handleJobRequest(Operation.STATUS, context, caller)
            },
        )
        server.route().delete(JOB_PATH)
            .build(authenticated { context, _, caller -> handleJobRequest(Operation.CANCEL, context, caller) })
    }

    private fun authenticated(
        handle: (ServiceRequestContext, HttpRequest, CallerId) -> CompletableFuture<CallerReply>,
    ) = HttpService { context, request ->
        val caller = authentication.callerOf(request.headers())
        val reply = if (caller == null) completed(UNAUTHENTICATED) else handle(context, request, caller)
        HttpResponse.of(reply.exceptionally(::failed).thenApply(::toHttp))
    }

    private fun openTicket(caller: CallerId): CallerReply {
        val ticket = registry.openTicket(caller)
            ?: return ReplyJson.refusal(null, RefusalCode.OVERLOAD, "ticket", "this instance can't issue tickets now")
        return ReplyJson.ticket(ticket, registrySettings.retentionMs, registrySettings.windowSequences)
    }

    private fun submit(
        context: ServiceRequestContext,
        request: HttpRequest,
        caller: CallerId,
    ): CompletableFuture<CallerReply> =
        request.aggregate()
            .handle { read, cause -> if (read == null) completed(bodyError(cause)) else submit(context, read, caller) }
            .thenCompose { it }

    /** Parses large bodies outside the event loop, which also serves other callers. */
    private fun submit(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
        caller: CallerId,
    ): CompletableFuture<CallerReply> {
        if (request.content().length() < LARGE_BODY_BYTES) return submit(request, caller)
        return CompletableFuture
            .supplyAsync({ submit(request, caller) }, context.blockingTaskExecutor())
            .thenCompose { it }
    }

    private fun submit(request: AggregatedHttpRequest, caller: CallerId): CompletableFuture<CallerReply> {
        val body = request.content().array()
        val text = request.headers().get("submission-id")
        val key = request.headers().get("idempotency-key")
        if ((text == null) == (key == null)) return completed(INVALID_HEADERS)
        if (key != null) return submitKeyed(key, caller, body)
        val submission = SubmissionId.parseOrNull(text.orEmpty()) ?: return completed(INVALID_SUBMISSION)
        return route(CallerRequest(Operation.SUBMIT, submission, caller, body, limits.maxTimeout))
    }

    private fun submitKeyed(key: String, caller: CallerId, body: ByteArray): CompletableFuture<CallerReply> {
        if (key.length !in 1..MAX_KEY_LENGTH) return completed(INVALID_KEY)
        val timeout = JobBody.timeoutOf(body, limits)
        return claims.handle(KeyedRequest(key, caller, body, timeout)).withDeadline(timeout, null)
    }

    private fun handleJobRequest(
        operation: Operation,
        context: ServiceRequestContext,
        caller: CallerId,
    ): CompletableFuture<CallerReply> {
        val text = "${context.pathParam("ticket")}/${context.pathParam("sequence")}"
        val submission = SubmissionId.parseOrNull(text) ?: return completed(INVALID_SUBMISSION)
        return route(CallerRequest(operation, submission, caller, ByteArray(0), limits.maxTimeout))
    }

    private fun route(request: CallerRequest): CompletableFuture<CallerReply> {
        if (isHandledHere(request.submission)) return home.handle(request)
        val timeout =
            if (request.operation == Operation.SUBMIT) JobBody.timeoutOf(request.body, limits) else request.timeout
        val forwarded =
            CallerRequest(request.operation, request.submission, request.caller, request.body, timeout)
        return forwarder.forward(forwarded).withDeadline(timeout, request.submission)
    }

    private fun CompletableFuture<CallerReply>.withDeadline(
        timeout: Duration,
        submission: SubmissionId?,
    ): CompletableFuture<CallerReply> {
        val late = ReplyJson.failure(submission, FailureCode.DEADLINE, "no answer was known at the deadline")
        return completeOnTimeout(late, (timeout + ANSWER_GRACE).inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun failed(cause: Throwable): CallerReply {
        log.error("http: internal error in a request", cause)
        return INTERNAL_ERROR
    }

    private fun bodyError(cause: Throwable): CallerReply {
        if (Exceptions.peel(cause) is ContentTooLargeException) return BODY_TOO_LARGE
        log.info("http: a request body is incomplete: {}", Exceptions.peel(cause).toString())
        return INCOMPLETE_BODY
    }

    private fun toHttp(reply: CallerReply): HttpResponse =
        HttpResponse.of(HttpStatus.valueOf(reply.httpStatus), MediaType.JSON, HttpData.wrap(reply.body))

    private companion object {
        val log = LogManager.getLogger(CallerApi::class.java)
        const val JOB_PATH = "/v1/jobs/{ticket}/{sequence}"
        const val MAX_KEY_LENGTH = 255
        const val LARGE_BODY_BYTES = 65_536

        /** Lets the home answer first: its answer at the deadline has more detail than the one given here. */
        val ANSWER_GRACE = 200.milliseconds

        val UNAUTHENTICATED =
            ReplyJson.refusal(null, RefusalCode.NOT_AUTHENTICATED, "Authorization", "the caller is not authenticated")
        val INVALID_HEADERS = malformed("headers", "exactly one of Submission-Id and Idempotency-Key is required")
        val INVALID_SUBMISSION = malformed("Submission-Id", "must be <ticket>/<sequence>")
        val INVALID_KEY = malformed("Idempotency-Key", "must have 1 to $MAX_KEY_LENGTH characters")
        val INCOMPLETE_BODY = malformed("body", "the body is incomplete")
        val INTERNAL_ERROR = ReplyJson.failure(null, FailureCode.HOME_LOST, "internal error, see the log")
        val BODY_TOO_LARGE = ReplyJson.refusal(null, RefusalCode.TOO_LARGE, "body", "the body is too large")

        fun malformed(place: String, message: String): CallerReply =
            ReplyJson.refusal(null, RefusalCode.MALFORMED, place, message)

        fun completed(reply: CallerReply): CompletableFuture<CallerReply> = CompletableFuture.completedFuture(reply)
    }
}
