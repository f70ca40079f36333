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

/** Rules as an entry instance holds them. Version 0 with an empty text means that there are none yet. */
@Serializable
internal data class RulesInForce(val version: Long, val text: String) {
    /** The rules of the text. */
    fun document(): RulesDocument = RulesReader.document(text, "version $version").orFail()
}

/** A command that talks to the port for operators. */
internal abstract class OperatorCommand(name: String, description: String, cli: Cli) : Command(name, description, cli) {
    /** Value of the option `--url`; null if it is not given. */
    protected val url: String? by urlOption("port for operators of any entry instance", DEFAULT_URL)

    /** Requests to the entry instance. */
    protected fun api(): HttpApi = HttpApi(url ?: DEFAULT_URL)

    /** The rules that the entry instance holds. */
    protected fun rulesInForce(api: HttpApi): RulesInForce {
        val reply = sendOrFail { api.send("GET", "/v1/rules") }
        if (reply.status == OK) return decodeReply(reply)
        if (reply.status == NOT_FOUND) return RulesInForce(0, "")
        throw CliFailure(ExitCode.NOT_REACHABLE, "status ${reply.status}: ${reply.body.take(MAX_SHOWN_CHARS)}")
    }

    /** The reply, or the end of the command. */
    protected fun sendOrFail(send: () -> HttpReply): HttpReply =
        try {
            send()
        } catch (e: NoReply) {
            throw e.asFailure()
        }

    protected companion object {
        const val DEFAULT_URL: String = "http://127.0.0.1:8081"
        const val OK: Int = 200
        const val NOT_FOUND: Int = 404
    }
}

/** Reports all faults of a rules file. */
internal class RulesCheckCommand(cli: Cli) : Command("check", "Checks a rules file", cli) {
    private val file by argument(ArgType.String, description = "rules file")

    override fun run(): Int {
        val document = readRules(file)
        cli.printLine("$file: ${document.lines.size} rules, no findings")
        return ExitCode.SUCCESS
    }
}
