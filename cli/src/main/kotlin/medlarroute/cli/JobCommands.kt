package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.serialization.Serializable

/** Commands that a caller uses. */
internal class JobCommands(cli: Cli) :
    CommandGroup(
        "job",
        "Submits, asks about and cancels jobs",
        listOf(JobSubmitCommand(cli), JobStatusCommand(cli), JobCancelCommand(cli)),
    )

/** A command that talks to the port for callers. */
internal abstract class CallerCommand(name: String, description: String, cli: Cli) : Command(name, description, cli) {
    private val url by urlOption("port for callers of any entry instance", DEFAULT_URL)
    private val caller by option(ArgType.String, "caller", description = "name of the caller, without tokens")
    private val tokenFile by option(ArgType.String, "token-file", description = "file that holds the caller's token")

    /** Requests in the name of the caller. */
    protected fun api(): HttpApi {
        val token = tokenFile?.let { readText(it).trim() }
        val header = if (token == null) "X-Caller" to (caller ?: "cli") else "Authorization" to "Bearer $token"
        return HttpApi(url ?: DEFAULT_URL, mapOf(header))
    }

    /** Prints the reply about a job; the exit code is negative unless the job is complete or runs. */
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

        /** Replies that no other moment would change. */
        val BAD_REQUESTS: Set<Int> = setOf(400, 401, 413, 422)
    }
}

/** A command about one submission. */
internal abstract class SubmissionCommand(name: String, description: String, cli: Cli, private val method: String) :
    CallerCommand(name, description, cli) {
    private val submission by argument(ArgType.String, description = "submission, <ticket>/<sequence>")

    override fun run(): Int {
        val api = api()
        val reply = try {
            api.send(method, "/v1/jobs/$submission")
        } catch (e: NoReply) {
            throw e.asFailure()
        }
        return printReply(reply)
    }
}

/** Prints the state of a submission and its answer, once there is one. */
internal class JobStatusCommand(cli: Cli) : SubmissionCommand("status", "Asks for the state of a job", cli, "GET")

/** Cancels a submission. */
internal class JobCancelCommand(cli: Cli) : SubmissionCommand("cancel", "Cancels a job", cli, "DELETE")
