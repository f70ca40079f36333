package medlarroute.lab

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.file.Path

/** One line of the record that the load tool keeps for the checker. Times are milliseconds since 1970. */
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
     * @property answeredSubmission submission that the answer itself names.
     * @property isReplay the request was sent again after its job had been answered as complete.
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

    /** No answer has arrived to any copy of the request, and none will be waited for. */
    @Serializable
    @SerialName("missing")
    data class Missing(override val submission: String, override val timeMs: Long, val reason: String) : LoadRecord

    companion object {
        /** Reads the record of a run of the load tool. */
        fun read(path: Path): List<LoadRecord> = readJsonLines(path, serializer())
    }
}

/** Status of an answer, as its body names it. */
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

/** What is wrong with a complete answer. */
internal enum class AnswerDefect {
    /** Results are lacking, or there are more of them than tasks. */
    PARTIAL,

    /** The answer names another submission, or an output belongs to another task. */
    OTHER_REQUEST,

    /** An output is not the right one for its payload. */
    WRONG,
}

/** Judges complete answers by the payloads that were sent. [ownerOf] tells which submission an output belongs to. */
internal fun defectOf(
    sent: LoadRecord.Submitted,
    answer: LoadRecord.Answered,
    ownerOf: (output: String) -> String?,
): AnswerDefect? {
    // A refusal of a request that was not read far enough to know its submission names none.
    if (answer.answeredSubmission == null && answer.status == AnswerStatus.REFUSED) return null
    if (answer.answeredSubmission != sent.submission) return AnswerDefect.OTHER_REQUEST
    if (answer.status != AnswerStatus.COMPLETE) return null
    if (answer.results.map { it.index } != sent.payloads.indices.toList()) return AnswerDefect.PARTIAL
    val wrong = answer.results.filter { it.output != StandinWork.outputOf(sent.payloads[it.index]) }
    if (wrong.isEmpty()) return null
    return if (wrong.any { ownerOf(it.output) != null }) AnswerDefect.OTHER_REQUEST else AnswerDefect.WRONG
}
