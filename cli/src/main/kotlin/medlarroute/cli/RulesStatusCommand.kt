package medlarroute.cli

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Shows which instance runs which version of the rules. */
internal class RulesStatusCommand(cli: Cli) :
    OperatorCommand("status", "Shows which instance runs which version", cli) {
    override fun run(): Int {
        val api = api()
        val reply = sendOrFail { api.send("GET", "/v1/status") }
        if (reply.status != OK) throw CliFailure(ExitCode.NOT_REACHABLE, "status ${reply.status}: ${reply.body}")
        cli.printLine(pretty.encodeToString(JsonElement.serializer(), decodeReply<JsonElement>(reply)))
        return ExitCode.SUCCESS
    }

    private companion object {
        val pretty = Json { prettyPrint = true }
    }
}
