package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.serialization.Serializable

/** Commands for callers: submit, query and cancel jobs. */
internal class JobCommands(cli: Cli) :
    CommandGroup(
        "job",
        "Submits, asks about and cancels jobs",
        listOf(JobSubmitCommand(cli), JobStatusCommand(cli), JobCancelCommand(cli)),
    )

/** Base class of the commands that send requests to the port for callers of an entry instance. */
internal abstract class CallerCommand(name: String, description: String, cli: Cli) :
    ExecutableCommand(name, description, cli) {
    private val url by urlOption("port for callers of any entry instance", DEFAULT_URL)
    private val caller by option(ArgType.String, "caller", description = "name of the caller, without tokens")
    private val tokenFile by option(ArgType.String, "token-file", description = "file that holds the caller's token")

    /** Returns a client that identifies as the caller, by token or by name. */
    protected fun apiClient(): ApiClient {
        val token = tokenFile?.let { readText(it).trim() }
        val header = if (token == null) "X-Caller" to (caller ?: "cli") else "Authorization" to "Bearer $token"
        return ApiClient(url ?: DEFAULT_URL, mapOf(header))
    }

    /** Prints the reply; returns [ExitCode.SUCCESS] if the job is complete or still running. */
    protected fun printReply(reply: HttpReply): Int {
        cli.printLine(reply.body)
        val status = decodeReply<JobState>(reply).status
        return when {
            status == "complete" || status == "running" -> ExitCode.SUCCESS
            reply.status in BAD_REQUESTS -> ExitCode.BAD_INPUT
            else -> ExitCode.NEGATIVE
        }
    }

    @Serializable
    private data class JobState(val status: String)

    protected companion object {
        private const val DEFAULT_URL = "http://127.0.0.1:8080"

        /** Status codes of invalid requests, which would fail again when retried. */
        val BAD_REQUESTS: Set<Int> = setOf(400, 401, 413, 422)
    }
}

/** Base class of the commands that send one request about an existing submission. */
internal abstract class SubmissionCommand(name: String, description: String, cli: Cli, private val method: String) :
    CallerCommand(name, description, cli) {
    private val submission by argument(ArgType.String, description = "submission, <ticket>/<sequence>")

    override fun run(): Int {
        val client = apiClient()
        val reply = try {
            client.send(method, "/v1/jobs/$submission")
        } catch (e: NoReplyException) {
            throw e.toCliFailure()
        }
        return printReply(reply)
    }
}

/** Prints the state of a submission, and its answer if the job has ended. */
internal class JobStatusCommand(cli: Cli) : SubmissionCommand("status", "Asks for the state of a job", cli, "GET")

/** Cancels a submission. */
internal class JobCancelCommand(cli: Cli) : SubmissionCommand("cancel", "Cancels a job", cli, "DELETE")
