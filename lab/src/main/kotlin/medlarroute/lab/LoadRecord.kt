package medlarroute.lab

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.file.Path

/**
 * One line of the record that the load generator writes for the checker. Times are milliseconds since the Unix epoch.
 */
@Serializable
sealed interface LoadRecord {
    val submission: String
    val timeMs: Long

    /** A submission is about to be sent for the first time. */
    @Serializable
    @SerialName("submitted")
    data class Submitted(
        override val submission: String,
        override val timeMs: Long,
        val caller: String,
        val idempotent: Boolean,
        val payloads: List<String>,
    ) : LoadRecord

    /**
     * An answer has arrived.
     *
     * @property answeredSubmission submission id in the body of the answer.
     * @property isReplay true if the request was sent again after its job had been answered as complete.
     */
    @Serializable
    @SerialName("answered")
    data class Answered(
        override val submission: String,
        override val timeMs: Long,
        val entry: String,
        val httpStatus: Int,
        val status: AnswerStatus,
        val answeredSubmission: String? = null,
        val code: String = "",
        val detail: String = "",
        val results: List<TaskResult> = emptyList(),
        val isReplay: Boolean = false,
    ) : LoadRecord

    /** No attempt to send the request got an answer, and there will be no further attempt. */
    @Serializable
    @SerialName("missing")
    data class Missing(override val submission: String, override val timeMs: Long, val reason: String) : LoadRecord

    companion object {
        /** Reads the record of a run of the load generator. */
        fun read(path: Path): List<LoadRecord> = readJsonLines(path, serializer())
    }
}

/** Status of an answer, as in its body. */
@Serializable
enum class AnswerStatus {
    @SerialName("complete")
    COMPLETE,

    @SerialName("failed")
    FAILED,

    @SerialName("refused")
    REFUSED,
}

/** Output of one task in a complete answer. */
@Serializable
data class TaskResult(val index: Int, val output: String)

/** Defect of an answer. */
internal enum class AnswerDefect {
    /** There is not exactly one result for each task, in the order of the tasks. */
    PARTIAL,

    /** The answer has the id of another submission, or an output belongs to another submission. */
    OTHER_REQUEST,

    /** An output is not the correct one for its payload. */
    WRONG,
}

/**
 * Checks [answer] against the payloads of the submission. Returns null if it has no defect.
 *
 * @param ownerOf returns the other submission that an output belongs to, or null if there is none.
 */
internal fun findDefect(
    sent: LoadRecord.Submitted,
    answer: LoadRecord.Answered,
    ownerOf: (output: String) -> String?,
): AnswerDefect? {
    // A request can be refused before its submission id is parsed; then the refusal contains no id.
    if (answer.answeredSubmission == null && answer.status == AnswerStatus.REFUSED) return null
    if (answer.answeredSubmission != sent.submission) return AnswerDefect.OTHER_REQUEST
    if (answer.status != AnswerStatus.COMPLETE) return null
    if (answer.results.map { it.index } != sent.payloads.indices.toList()) return AnswerDefect.PARTIAL
    val wrong = answer.results.filter { it.output != StandinTaskSpec.outputOf(sent.payloads[it.index]) }
    if (wrong.isEmpty()) return null
    return if (wrong.any { ownerOf(it.output) != null }) AnswerDefect.OTHER_REQUEST else AnswerDefect.WRONG
}
