package medlarroute.server

import com.linecorp.armeria.common.HttpStatus
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import medlarroute.core.Answer
import medlarroute.core.FailureCode
import medlarroute.core.Refusal
import medlarroute.core.RefusalCode
import medlarroute.core.SubmissionId
import medlarroute.core.TicketId

/** JSON bodies and HTTP status codes of replies to callers. */
internal object ReplyJson {
    @Serializable
    private data class TicketBody(val ticket: String, val retentionMs: Long, val windowSequences: Int)

    @Serializable
    private data class ResultBody(val index: Int, val output: String)

    @Serializable
    private data class CompleteBody(val status: String, val submission: String, val results: List<ResultBody>)

    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    private data class FailedBody(
        val status: String,
        val submission: String?,
        val code: String,
        @EncodeDefault val mayHaveRun: Boolean = true,
        val detail: String,
    )

    @Serializable
    private data class FindingBody(val code: String, val place: String, val message: String)

    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    private data class RefusedBody(
        val status: String,
        val submission: String?,
        @EncodeDefault val notRun: Boolean = true,
        val findings: List<FindingBody>,
        val retryAfterMs: Long?,
    )

    @Serializable
    private data class StateBody(val status: String, val submission: String)

    private val json = Json { explicitNulls = false }

    fun ticket(ticket: TicketId, retentionMs: Long, windowSequences: Int): CallerReply =
        reply(HttpStatus.CREATED, TicketBody(ticket.toString(), retentionMs, windowSequences))

    fun running(submission: SubmissionId): CallerReply =
        reply(HttpStatus.OK, StateBody("running", submission.toString()))

    fun unknown(submission: SubmissionId): CallerReply =
        reply(HttpStatus.NOT_FOUND, StateBody("unknown", submission.toString()))

    /** [submission] is null if the reply refers to the request only and makes no statement about a submission. */
    fun answer(submission: SubmissionId?, answer: Answer): CallerReply =
        when (answer) {
            is Answer.Complete -> complete(submission, answer)
            is Answer.Failed -> failed(submission, answer)
            is Answer.Refused -> refused(submission, answer)
        }

    fun refusal(submission: SubmissionId?, code: RefusalCode, place: String, message: String): CallerReply =
        answer(submission, Answer.Refused(listOf(Refusal(code, place, message))))

    fun failure(submission: SubmissionId?, code: FailureCode, detail: String): CallerReply =
        answer(submission, Answer.Failed(code, detail))

    private fun complete(submission: SubmissionId?, answer: Answer.Complete): CallerReply {
        val results = answer.outputs.mapIndexed { index, output -> ResultBody(index, output) }
        return reply(HttpStatus.OK, CompleteBody("complete", submission.toString(), results))
    }

    private fun failed(submission: SubmissionId?, answer: Answer.Failed): CallerReply {
        val body = FailedBody("failed", submission?.toString(), answer.code.name, detail = answer.detail)
        return reply(statusOf(answer.code), body)
    }

    private fun refused(submission: SubmissionId?, answer: Answer.Refused): CallerReply {
        val findings = answer.findings.map { FindingBody(it.code.name, it.place, it.message) }
        val retryAfterMs = answer.retryAfter?.inWholeMilliseconds
        val body = RefusedBody("refused", submission?.toString(), findings = findings, retryAfterMs = retryAfterMs)
        return reply(answer.findings.minOf { statusOf(it.code) }, body)
    }

    private fun statusOf(code: FailureCode): HttpStatus =
        when (code) {
            FailureCode.TASK_FAILED, FailureCode.TASK_LOST -> HttpStatus.BAD_GATEWAY
            FailureCode.DEADLINE -> HttpStatus.GATEWAY_TIMEOUT
            FailureCode.HOME_LOST, FailureCode.ANSWER_EXPIRED -> HttpStatus.GONE
            FailureCode.CANCELLED -> HttpStatus.CLIENT_CLOSED_REQUEST
            FailureCode.CLAIM_UNKNOWN -> HttpStatus.SERVICE_UNAVAILABLE
        }

    private fun statusOf(code: RefusalCode): HttpStatus =
        when (code) {
            RefusalCode.MALFORMED -> HttpStatus.BAD_REQUEST
            RefusalCode.NOT_AUTHENTICATED -> HttpStatus.UNAUTHORIZED
            RefusalCode.UNKNOWN_TICKET -> HttpStatus.NOT_FOUND
            RefusalCode.DIGEST_MISMATCH, RefusalCode.TICKET_CLOSED -> HttpStatus.CONFLICT
            RefusalCode.TOO_LARGE -> HttpStatus.REQUEST_ENTITY_TOO_LARGE
            RefusalCode.CAN_NEVER_RUN -> HttpStatus.UNPROCESSABLE_ENTITY
            RefusalCode.QUOTA, RefusalCode.CALLER_LIMIT -> HttpStatus.TOO_MANY_REQUESTS
            RefusalCode.CANCELLED -> HttpStatus.CLIENT_CLOSED_REQUEST
            RefusalCode.OVERLOAD, RefusalCode.DRAINING, RefusalCode.NO_RULES -> HttpStatus.SERVICE_UNAVAILABLE
        }

    private inline fun <reified T> reply(status: HttpStatus, body: T): CallerReply =
        CallerReply(status.code(), json.encodeToString(body).encodeToByteArray())
}
