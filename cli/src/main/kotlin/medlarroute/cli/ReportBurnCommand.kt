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

/** Fetches the burn snapshots of running instances and prints the merged report. */
internal class ReportBurnCommand(cli: Cli) : ExecutableCommand("burn", "Reports service-level burn", cli) {
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
        val results = urls.map { url -> CompletableFuture.supplyAsync { fetchSnapshot(url) } }.map { it.join() }
        val report = BurnReport.merge(results.mapNotNull { it.snapshot }, results.mapNotNull { it.unreachable })
        cli.print(render(report))
        report.unreachable.forEach { cli.printDiagnostic("not reachable: ${it.url}: ${it.reason}") }
        return exitCode(report)
    }

    private class FetchResult(val snapshot: BurnSnapshot?, val unreachable: UnreachableInstance?)

    private fun fetchSnapshot(url: String): FetchResult {
        val reason = try {
            val reply = ApiClient(url).send("GET", "/v1/report/burn")
            if (reply.status == OK) return FetchResult(decodeReply(reply), null)
            "status ${reply.status}"
        } catch (e: NoReplyException) {
            e.message
        } catch (e: CliFailure) {
            e.message
        }
        return FetchResult(null, UnreachableInstance(url, reason.removePrefix("$url ")))
    }

    private fun render(report: BurnReport): String =
        when (format) {
            Format.TEXT -> BurnText.render(report)
            Format.JSON -> json.encodeToString(BurnReport.serializer(), report) + "\n"
            Format.HTML -> BurnPage.render(report)
        }

    private fun exitCode(report: BurnReport): Int =
        when {
            report.instances.isEmpty() || report.unreachable.isNotEmpty() -> ExitCode.NOT_REACHABLE
            report.objectives.any { it.state in BURNING } -> ExitCode.NEGATIVE
            else -> ExitCode.SUCCESS
        }

    private companion object {
        const val OK = 200
        val json = Json { prettyPrint = true }
        val BURNING = setOf(BurnState.SLOW_BURN, BurnState.FAST_BURN)
    }
}
