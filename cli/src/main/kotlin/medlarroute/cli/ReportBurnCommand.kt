package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.Json
import medlarroute.core.BurnReport
import medlarroute.core.BurnSnapshot
import medlarroute.core.BurnState
import medlarroute.core.UnreachableInstance
import java.util.concurrent.CompletableFuture

/** Merges the burn reports of running instances. */
internal class ReportBurnCommand(cli: Cli) : Command("burn", "Reports service-level burn", cli) {
    private enum class Format { TEXT, JSON, HTML }

    private val instances by option(
        ArgType.String,
        "instances",
        description = "ports for operators of all instances, as URL,URL",
    ).required()
    private val format by option(ArgType.Choice<Format>(), "format", description = "form of the report")
        .default(Format.TEXT)

    override fun run(): Int {
        val urls = instances.split(',').map { it.trim() }.filter { it.isNotEmpty() }.distinct()
        val replies = urls.map { url -> CompletableFuture.supplyAsync { ask(url) } }.map { it.join() }
        val report = BurnReport.merge(replies.mapNotNull { it.snapshot }, replies.mapNotNull { it.unreachable })
        cli.print(print(report))
        report.unreachable.forEach { cli.note("not reachable: ${it.url}: ${it.reason}") }
        return exitCode(report)
    }

    private class Reply(val snapshot: BurnSnapshot?, val unreachable: UnreachableInstance?)

    private fun ask(url: String): Reply {
        val reason = try {
            val reply = HttpApi(url).send("GET", "/v1/report/burn")
            if (reply.status == OK) return Reply(decodeReply(reply), null)
            "status ${reply.status}"
        } catch (e: NoReply) {
            e.message
        } catch (e: CliFailure) {
            e.message
        }
        return Reply(null, UnreachableInstance(url, reason.removePrefix("$url ")))
    }

    private fun print(report: BurnReport): String =
        when (format) {
            Format.TEXT -> BurnText.print(report)
            Format.JSON -> json.encodeToString(BurnReport.serializer(), report) + "\n"
            Format.HTML -> BurnPage.print(report)
        }

    private fun exitCode(report: BurnReport): Int =
        when {
            report.instances.isEmpty() || report.unreachable.isNotEmpty() -> ExitCode.NOT_REACHABLE
            report.objectives.any { it.state in burning } -> ExitCode.NEGATIVE
            else -> ExitCode.SUCCESS
        }

    private companion object {
        const val OK = 200
        val json = Json { prettyPrint = true }
        val burning = setOf(BurnState.SLOW_BURN, BurnState.FAST_BURN)
    }
}
