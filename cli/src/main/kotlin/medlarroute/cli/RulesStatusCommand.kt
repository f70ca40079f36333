package medlarroute.cli

import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/** Shows the rules version of each instance; negative unless all instances are reachable and have the same version. */
internal class RulesStatusCommand(cli: Cli) :
    OperatorCommand("status", "Shows which instance runs which version", cli) {
    override fun run(): Int {
        val client = apiClient()
        val reply = sendOrFail { client.send("GET", "/v1/rules/status") }
        if (reply.status != OK) throw CliFailure(ExitCode.NOT_REACHABLE, "status ${reply.status}: ${reply.body}")
        val instances = decodeReply<StatusReply>(reply).instances
        instances.forEach { cli.printLine(describe(it)) }
        val isSame = instances.all { it.reachable && it.version == instances.first().version }
        return if (isSame) ExitCode.SUCCESS else ExitCode.NEGATIVE
    }

    private fun describe(status: InstanceStatus): String {
        val version = status.version?.let { "version $it" } ?: "version not known"
        val age = status.sinceContactMs?.let { "last contact ${it.milliseconds} ago" } ?: "never contacted"
        val state = if (status.reachable) "reachable" else "unreachable, $age"
        return "${status.failureDomain}/${status.instance}: $version, $state"
    }

    @Serializable
    private data class StatusReply(val instances: List<InstanceStatus>)

    @Serializable
    private data class InstanceStatus(
        val instance: String,
        val failureDomain: String,
        val version: Long? = null,
        val reachable: Boolean,
        val sinceContactMs: Long? = null,
    )
}
