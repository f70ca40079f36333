package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.serialization.Serializable
import java.time.Duration

/** Submits a job, waits for its answer and prints it. */
internal class JobSubmitCommand(cli: Cli) : CallerCommand("submit", "Submits a job and prints its answer", cli) {
    private val file by option(
        ArgType.String,
        "file",
        description = "JSON body of the job, instead of --kind and --task",
    )
    private val kind by option(ArgType.String, "kind", description = "kind of the tasks")
    private val tasks by option(ArgType.String, "task", description = "payload of a task; repeat for each").multiple()
    private val deadlineMs by option(ArgType.Int, "deadline-ms", description = "time limit").default(DEADLINE_MS)
    private val nonIdempotent by option(
        ArgType.Boolean,
        "non-idempotent",
        description = "mark the job as non-idempotent",
    ).default(false)
    private val submission by option(
        ArgType.String,
        "submission",
        description = "submission id on a ticket opened before; to resubmit, repeat it with the same job",
    )
    private val idempotencyKey by option(
        ArgType.String,
        "key",
        description = "idempotency key, instead of a submission id",
    )

    override fun run(): Int {
        if (submission != null && idempotencyKey != null) {
            throw CliFailure(ExitCode.BAD_INPUT, "--submission and --key exclude each other")
        }
        val body = requestBody()
        val client = apiClient()
        val id = if (idempotencyKey == null) submission ?: "${openTicket(client)}/1" else null
        id?.let { cli.printDiagnostic("submission $it") }
        val header = if (id == null) "Idempotency-Key" to idempotencyKey.orEmpty() else "Submission-Id" to id
        return printReply(submit(client, body, header))
    }

    private fun submit(client: ApiClient, body: String, header: Pair<String, String>): HttpReply =
        try {
            client.send("POST", "/v1/jobs", body, mapOf(header), Duration.ofMillis(deadlineMs + REPLY_MARGIN_MS))
        } catch (e: NoReplyException) {
            throw e.toCliFailure(if (e.mayHaveBeenSent) "\n$RESUBMIT_HINT" else "")
        }

    private fun openTicket(client: ApiClient): String {
        val reply = try {
            client.send("POST", "/v1/tickets")
        } catch (e: NoReplyException) {
            throw e.toCliFailure()
        }
        if (reply.status == CREATED) return decodeReply<TicketReply>(reply).ticket
        val code = if (reply.status in BAD_REQUESTS) ExitCode.BAD_INPUT else ExitCode.NEGATIVE
        throw CliFailure(code, "no ticket: ${reply.body.take(MAX_SHOWN_CHARS)}")
    }

    private fun requestBody(): String {
        val name = file
        if ((name == null) == (kind == null)) throw CliFailure(ExitCode.BAD_INPUT, "give either --file or --kind")
        if (name != null) return readText(name)
        if (tasks.isEmpty()) throw CliFailure(ExitCode.BAD_INPUT, "a job has at least one --task")
        val job = JobRequest(kind.orEmpty(), deadlineMs.toLong(), !nonIdempotent, tasks.map { TaskRequest(it) })
        return ApiClient.json.encodeToString(JobRequest.serializer(), job)
    }

    @Serializable
    private data class TicketReply(val ticket: String)

    @Serializable
    private data class TaskRequest(val payload: String)

    @Serializable
    private data class JobRequest(
        val kind: String,
        val deadlineMs: Long,
        val idempotent: Boolean,
        val tasks: List<TaskRequest>,
    )

    private companion object {
        const val DEADLINE_MS = 10_000
        const val CREATED = 201
        const val RESUBMIT_HINT = "the job may have run; submit it again under the same id to learn its outcome"

        /** Margin of the HTTP timeout over the deadline, as the entry instance may answer only at the deadline. */
        const val REPLY_MARGIN_MS = 5_000L
    }
}
