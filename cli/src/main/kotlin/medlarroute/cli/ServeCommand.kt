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

/** Runs an entry instance until the process is terminated. */
internal class ServeCommand(cli: Cli) : ExecutableCommand("serve", "Runs an entry instance", cli) {
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
        configureLogging(settings)
        val instance = startInstance(settings)
        rules?.let { instance.applyRules(it.toRules(version = 1)) }
        Runtime.getRuntime().addShutdownHook(Thread { drainAndHalt(instance) })
        CountDownLatch(1).await()
        return ExitCode.SUCCESS
    }

    /**
     * Drains [instance] on SIGTERM and halts the JVM with an exit code of this command. Otherwise the JVM would exit
     * with 143, which a supervisor treats as a failure.
     */
    private fun drainAndHalt(instance: EntryInstance) {
        val report = instance.drain()
        LogManager.shutdown()
        Runtime.getRuntime().halt(if (report.unfinishedJobs == 0) ExitCode.SUCCESS else ExitCode.NEGATIVE)
    }

    private fun startInstance(settings: Settings): EntryInstance =
        try {
            EntryInstance(settings).also { it.start() }
        } catch (e: Exception) {
            throw CliFailure(ExitCode.BAD_INPUT, "$settingsFile:1:1: ${describeStartError(e)}", e)
        }

    private fun describeStartError(e: Exception): String =
        when (e) {
            is CompletionException -> "a port can't be bound: ${e.cause?.message}"
            is IOException -> "a file that the settings name can't be read: ${e.message}"
            else -> e.message ?: e.javaClass.simpleName
        }

    /** Sets the properties that Log4j reads when the first logger is created; has to be called before that. */
    private fun configureLogging(settings: Settings) {
        System.setProperty("medlarroute.log.format", settings.log.format.name)
        System.setProperty("medlarroute.log.level", settings.log.level.name)
    }
}
