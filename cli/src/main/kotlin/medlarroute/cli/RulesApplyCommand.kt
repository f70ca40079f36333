package medlarroute.cli

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.Serializable
import medlarroute.core.RulesDiff
import medlarroute.core.RulesDocument
import medlarroute.core.RulesReader
import java.nio.file.Files
import java.nio.file.Path

/**
 * Puts a rules file in force, unless someone else has changed the rules since the version that the edit started from.
 *
 * That version is the first line of the file (see [BaseVersion]) or the option `--base`. A version that the command
 * reads itself would not do: it can hold a change that the author of the file has never seen.
 */
internal class RulesApplyCommand(cli: Cli) : OperatorCommand("apply", "Puts a rules file in force", cli) {
    private val file by argument(ArgType.String, description = "rules file")
    private val base by option(ArgType.Int, "base", description = "version that the edit started from")
    private val dryRun by option(ArgType.Boolean, "dry-run", description = "only show the difference").default(false)

    override fun run(): Int {
        val text = readText(file)
        val document = readRules(file)
        val baseVersion = base?.toLong() ?: BaseVersion.of(text)
            ?: throw CliFailure(
                ExitCode.BAD_INPUT,
                "$file:1:1: no base version; use `rules get`, or say --base VERSION",
            )
        val api = api()
        val current = rulesInForce(api)
        if (current.version != baseVersion) return conflict(baseVersion, current, document)
        val diff = RulesDiff.between(current.document(), document)
        cli.print(diff.toString())
        if (diff.isEmpty) return unchanged(current)
        return if (dryRun) ExitCode.SUCCESS else put(api, baseVersion, BaseVersion.strip(text), document)
    }

    private fun unchanged(current: RulesInForce): Int {
        cli.note("no difference to version ${current.version}")
        return ExitCode.SUCCESS
    }

    private fun put(api: HttpApi, baseVersion: Long, text: String, document: RulesDocument): Int {
        val request = PutRequest(text, baseVersion)
        val reply = try {
            api.send("PUT", "/v1/rules", HttpApi.json.encodeToString(PutRequest.serializer(), request))
        } catch (e: NoReply) {
            return afterLostReply(api, baseVersion, text, e)
        }
        return when (reply.status) {
            OK -> accepted(decodeReply<PutReply>(reply).version)
            CONFLICT -> conflict(baseVersion, decodeReply(reply), document)
            else -> throw notApplied(reply)
        }
    }

    private fun notApplied(reply: HttpReply): CliFailure =
        when (reply.status) {
            in CLIENT_ERRORS -> CliFailure(ExitCode.BAD_INPUT, reply.body)
            GATEWAY_TIMEOUT -> CliFailure(ExitCode.NOT_REACHABLE, "$UNKNOWN_OUTCOME: ${reply.body}")
            else -> CliFailure(ExitCode.NOT_REACHABLE, "status ${reply.status}: ${reply.body}")
        }

    private fun accepted(version: Long): Int {
        cli.printLine("accepted as version $version")
        val text = readText(file)
        val isHeaded = BaseVersion.of(text) != null
        if (isHeaded) Files.writeString(Path.of(file), BaseVersion.header(version) + "\n" + BaseVersion.strip(text))
        return ExitCode.SUCCESS
    }

    /** The write may have taken effect although its reply was lost; the rules in force decide. */
    private fun afterLostReply(api: HttpApi, baseVersion: Long, text: String, cause: NoReply): Int {
        if (!cause.isSent) throw cause.asFailure()
        val current = rulesInForce(api)
        if (current.version == baseVersion + 1 && current.text == text) return accepted(current.version)
        val state = "version ${current.version} is in force now, look again with `rules diff $file`"
        throw cause.asFailure("\n$UNKNOWN_OUTCOME: $state")
    }

    private fun conflict(baseVersion: Long, winner: RulesInForce, document: RulesDocument): Int {
        cli.note("conflict: $file starts from version $baseVersion, version ${winner.version} is in force; not applied")
        cli.note("what your file would change there, the other change included:")
        val theirs = RulesReader.document(winner.text, "version ${winner.version}").orFail()
        cli.print(RulesDiff.between(theirs, document).toString())
        return ExitCode.NEGATIVE
    }

    @Serializable
    private data class PutRequest(val text: String, val expectedVersion: Long)

    @Serializable
    private data class PutReply(val version: Long)

    private companion object {
        const val CONFLICT = 409
        const val GATEWAY_TIMEOUT = 504
        const val UNKNOWN_OUTCOME = "the outcome is not known"
        val CLIENT_ERRORS = 400..499
    }
}
