package medlarroute.cli

import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/** Shows which instance runs which version of the rules; negative unless all run the same one and are reachable. */
internal class RulesStatusCommand(cli: Cli) :
    OperatorCommand("status", "Shows which instance runs which version", cli) {
    override fun run(): Int {
        val api = api()
        val reply = sendOrFail { api.send("GET", "/v1/rules/status") }
        if (reply.status != OK) throw CliFailure(ExitCode.NOT_REACHABLE, "status ${reply.status}: ${reply.body}")
        val instances = decodeReply<Status>(reply).instances
        instances.forEach { cli.printLine(line(it)) }
        val isSame = instances.all { it.reachable && it.version == instances.first().version }
        return if (isSame) ExitCode.SUCCESS else ExitCode.NEGATIVE
    }

    private fun line(entry: Entry): String {
        val version = entry.version?.let { "version $it" } ?: "version not known"
        val age = entry.sinceContactMs?.let { "last contact ${it.milliseconds} ago" } ?: "never contacted"
        val state = if (entry.reachable) "reachable" else "unreachable, $age"
        return "${entry.failureDomain}/${entry.instance}: $version, $state"
    }

    @Serializable
    private data class Status(val instances: List<Entry>)

    @Serializable
    private data class Entry(
        val instance: String,
        val failureDomain: String,
        val version: Long? = null,
        val reachable: Boolean,
        val sinceContactMs: Long? = null,
    )
}
