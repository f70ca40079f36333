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
import medlarroute.core.RefusalCode
import medlarroute.core.RegistrySettings
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/**
 * The HTTP API for callers.
 *
 * Refusals given here name no submission: they are about the request alone, since another copy of it may have reached
 * the home of the submission.
 */
internal class CallerApi(
    private val registrySettings: RegistrySettings,
    private val maxTimeout: Duration,
    private val authentication: CallerAuthentication,
    private val registry: SubmissionRegistry,
    private val isHandledHere: (SubmissionId) -> Boolean,
    private val home: HomeHandler,
    private val forwarder: RequestForwarder,
    private val claims: ClaimHandler,
) {
    /** Adds the routes of the API to [server]. */
    fun addTo(server: ServerBuilder) {
        server.route().post("/v1/tickets").build(authenticated { _, _, caller -> done(openTicket(caller)) })
        server.route().post("/v1/jobs").build(authenticated { _, request, caller -> submit(request, caller) })
        server.route().get(JOB_PATH).build(
            authenticated { context, _, caller ->
                ask(Operation.STATUS, context, caller)
            },
        )
        server.route().delete(JOB_PATH)
            .build(authenticated { context, _, caller -> ask(Operation.CANCEL, context, caller) })
    }

    private fun authenticated(
        handle: (ServiceRequestContext, HttpRequest, CallerId) -> CompletableFuture<CallerReply>,
    ) = HttpService { context, request ->
        val caller = authentication.callerOf(request.headers())
        val reply = if (caller == null) done(UNAUTHENTICATED) else handle(context, request, caller)
        HttpResponse.of(reply.thenApply(::toHttp))
    }

    private fun openTicket(caller: CallerId): CallerReply {
        val ticket = registry.openTicket(caller)
            ?: return ReplyJson.refusal(null, RefusalCode.OVERLOAD, "ticket", "this instance issues no tickets now")
        return ReplyJson.ticket(ticket, registrySettings.retentionMs, registrySettings.windowSequences)
    }

    private fun submit(request: HttpRequest, caller: CallerId): CompletableFuture<CallerReply> =
        request.aggregate()
            .thenCompose { submit(it, caller) }
            .exceptionally(::unreadable)

    private fun submit(request: AggregatedHttpRequest, caller: CallerId): CompletableFuture<CallerReply> {
        val body = request.content().array()
        val text = request.headers().get("submission-id")
        val key = request.headers().get("idempotency-key")
        if ((text == null) == (key == null)) return done(WRONG_HEADERS)
        if (key != null) return submitKeyed(key, caller, body)
        val submission = SubmissionId.parseOrNull(text.orEmpty()) ?: return done(WRONG_SUBMISSION)
        return route(CallerRequest(Operation.SUBMIT, submission, caller, body, maxTimeout))
    }

    private fun submitKeyed(key: String, caller: CallerId, body: ByteArray): CompletableFuture<CallerReply> {
        if (key.length !in 1..MAX_KEY_LENGTH) return done(WRONG_KEY)
        return claims.handle(KeyedRequest(key, caller, body, maxTimeout))
    }

    private fun ask(
        operation: Operation,
        context: ServiceRequestContext,
        caller: CallerId,
    ): CompletableFuture<CallerReply> {
        val text = "${context.pathParam("ticket")}/${context.pathParam("sequence")}"
        val submission = SubmissionId.parseOrNull(text) ?: return done(WRONG_SUBMISSION)
        return route(CallerRequest(operation, submission, caller, ByteArray(0), maxTimeout))
    }

    private fun route(request: CallerRequest): CompletableFuture<CallerReply> =
        if (isHandledHere(request.submission)) home.handle(request) else forwarder.forward(request)

    private fun unreadable(cause: Throwable): CallerReply {
        if (Exceptions.peel(cause) is ContentTooLargeException) return BODY_TOO_LARGE
        log.warn("http: a request could not be handled", cause)
        return UNREADABLE
    }

    private fun toHttp(reply: CallerReply): HttpResponse =
        HttpResponse.of(HttpStatus.valueOf(reply.httpStatus), MediaType.JSON, HttpData.wrap(reply.body))

    private companion object {
        val log = LogManager.getLogger(CallerApi::class.java)
        const val JOB_PATH = "/v1/jobs/{ticket}/{sequence}"
        const val MAX_KEY_LENGTH = 255

        val UNAUTHENTICATED =
            ReplyJson.refusal(null, RefusalCode.NOT_AUTHENTICATED, "Authorization", "the caller is not known")
        val WRONG_HEADERS = malformed("headers", "exactly one of Submission-Id and Idempotency-Key is needed")
        val WRONG_SUBMISSION = malformed("Submission-Id", "must be <ticket>/<sequence>")
        val WRONG_KEY = malformed("Idempotency-Key", "must have 1 to $MAX_KEY_LENGTH characters")
        val UNREADABLE = malformed("body", "the body did not arrive in full")
        val BODY_TOO_LARGE = ReplyJson.refusal(null, RefusalCode.TOO_LARGE, "body", "the body is too large")

        fun malformed(place: String, message: String): CallerReply =
            ReplyJson.refusal(null, RefusalCode.MALFORMED, place, message)

        fun done(reply: CallerReply): CompletableFuture<CallerReply> = CompletableFuture.completedFuture(reply)
    }
}
