package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.required
import medlarroute.core.Settings
import medlarroute.core.SettingsReader
import medlarroute.server.EntryInstance
import org.apache.logging.log4j.LogManager
import java.io.IOException
import java.util.concurrent.CompletionException
import java.util.concurrent.CountDownLatch

/** Runs an entry instance until it is told to stop. */
internal class ServeCommand(cli: Cli) : Command("serve", "Runs an entry instance", cli) {
    private val settingsFile by option(ArgType.String, "settings", description = "settings file").required()
    private val rulesFile by option(
        ArgType.String,
        "rules",
        description = "rules file, for an instance without a platform",
    )

    override fun run(): Int {
        val settings = SettingsReader.read(readText(settingsFile), settingsFile).orFail()
        if (rulesFile != null && settings.platform.url.isNotEmpty()) {
            throw CliFailure(ExitCode.BAD_INPUT, "--rules is for an instance without a platform; use `rules apply`")
        }
        val rules = rulesFile?.let { readRules(it) }
        configureLogs(settings)
        val instance = started(settings)
        rules?.let { instance.applyRules(it.toRules(version = 1)) }
        Runtime.getRuntime().addShutdownHook(Thread { stop(instance) })
        CountDownLatch(1).await()
        return ExitCode.SUCCESS
    }

    /** Runs on SIGTERM, after which a JVM exits with 143 by itself; a supervisor would take that for a fault. */
    private fun stop(instance: EntryInstance) {
        val report = instance.drain()
        LogManager.shutdown()
        Runtime.getRuntime().halt(if (report.unfinishedJobs == 0) ExitCode.SUCCESS else ExitCode.NEGATIVE)
    }

    private fun started(settings: Settings): EntryInstance =
        try {
            EntryInstance(settings).also { it.start() }
        } catch (e: Exception) {
            throw CliFailure(ExitCode.BAD_INPUT, "$settingsFile:1:1: ${reason(e)}", e)
        }

    private fun reason(e: Exception): String =
        when (e) {
            is CompletionException -> "a port can't be bound: ${e.cause?.message}"
            is IOException -> "a file that the settings name can't be read: ${e.message}"
            else -> e.message ?: e.javaClass.simpleName
        }

    /** Log4j reads these properties when the first logger is made, so they are set before that. */
    private fun configureLogs(settings: Settings) {
        System.setProperty("medlarroute.log.format", settings.log.format.name)
        System.setProperty("medlarroute.log.level", settings.log.level.name)
    }
}
