package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.serialization.Serializable
import medlarroute.core.RulesDocument
import medlarroute.core.RulesReader

/** Commands about the rules. */
internal class RulesCommands(cli: Cli) :
    CommandGroup(
        "rules",
        "Checks, compares, explains and applies rules",
        listOf(
            RulesCheckCommand(cli),
            RulesDiffCommand(cli),
            RulesExplainCommand(cli),
            RulesGetCommand(cli),
            RulesApplyCommand(cli),
            RulesStatusCommand(cli),
        ),
    )

/** Rules that an entry instance has in force; version 0 with an empty text if there are none yet. */
@Serializable
internal data class RulesInForce(val version: Long, val text: String) {
    /** Parses the text of the rules. */
    fun document(): RulesDocument = RulesReader.document(text, "version $version").orFail()
}

/** Base class of the commands that send requests to the port for operators of an entry instance. */
internal abstract class OperatorCommand(name: String, description: String, cli: Cli) :
    ExecutableCommand(name, description, cli) {
    /** Value of the option `--url`; null if it is not given. */
    protected val url: String? by urlOption("port for operators of any entry instance", DEFAULT_URL)

    /** Returns a client for the entry instance. */
    protected fun apiClient(): ApiClient = ApiClient(url ?: DEFAULT_URL)

    /** Fetches the rules that the entry instance has in force. */
    protected fun fetchRulesInForce(client: ApiClient): RulesInForce {
        val reply = sendOrFail { client.send("GET", "/v1/rules") }
        if (reply.status == OK) return decodeReply(reply)
        if (reply.status == NOT_FOUND) return RulesInForce(0, "")
        throw CliFailure(ExitCode.NOT_REACHABLE, "status ${reply.status}: ${reply.body.take(MAX_SHOWN_CHARS)}")
    }

    /** Returns the reply of [send], or ends the command with [ExitCode.NOT_REACHABLE]. */
    protected fun sendOrFail(send: () -> HttpReply): HttpReply =
        try {
            send()
        } catch (e: NoReplyException) {
            throw e.toCliFailure()
        }

    protected companion object {
        const val DEFAULT_URL: String = "http://127.0.0.1:8081"
        const val OK: Int = 200
        const val NOT_FOUND: Int = 404
    }
}

/** Reports all errors in a rules file. */
internal class RulesCheckCommand(cli: Cli) : ExecutableCommand("check", "Checks a rules file", cli) {
    private val file by argument(ArgType.String, description = "rules file")

    override fun run(): Int {
        val document = readRules(file)
        cli.printLine("$file: ${document.lines.size} rules, no findings")
        return ExitCode.SUCCESS
    }
}
