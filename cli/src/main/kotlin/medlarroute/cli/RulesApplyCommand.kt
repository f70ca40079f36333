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
 * Puts a rules file in force, unless the rules have changed since the version that the edit started from (optimistic
 * locking).
 *
 * The base version comes from the first line of the file (see [BaseVersion]) or from the option `--base`. The command
 * does not use the current version as base, since that can include a change that the author of the file has not seen.
 */
internal class RulesApplyCommand(cli: Cli) : OperatorCommand("apply", "Puts a rules file in force", cli) {
    private val file by argument(ArgType.String, description = "rules file")
    private val base by option(ArgType.Int, "base", description = "version that the edit started from")
    private val dryRun by option(ArgType.Boolean, "dry-run", description = "only show the difference").default(false)

    override fun run(): Int {
        val text = readText(file)
        val document = readRules(file)
        val baseVersion = base?.toLong() ?: BaseVersion.parse(text)
            ?: throw CliFailure(
                ExitCode.BAD_INPUT,
                "$file:1:1: no base version; use `rules get`, or pass --base VERSION",
            )
        val client = apiClient()
        val current = fetchRulesInForce(client)
        if (current.version != baseVersion) return reportConflict(baseVersion, current, document)
        val diff = RulesDiff.between(current.document(), document)
        cli.print(diff.toString())
        if (diff.isEmpty) return reportUnchanged(current)
        return if (dryRun) ExitCode.SUCCESS else putRules(client, baseVersion, BaseVersion.stripHeader(text), document)
    }

    private fun reportUnchanged(current: RulesInForce): Int {
        cli.printDiagnostic("no difference to version ${current.version}")
        return ExitCode.SUCCESS
    }

    private fun putRules(client: ApiClient, baseVersion: Long, text: String, document: RulesDocument): Int {
        val request = PutRequest(text, baseVersion)
        val reply = try {
            client.send("PUT", "/v1/rules", ApiClient.json.encodeToString(PutRequest.serializer(), request))
        } catch (e: NoReplyException) {
            return resolveLostReply(client, baseVersion, text, e)
        }
        return when (reply.status) {
            OK -> reportAccepted(decodeReply<PutReply>(reply).version)
            CONFLICT -> reportConflict(baseVersion, decodeReply(reply), document)
            else -> throw failureOf(reply)
        }
    }

    private fun failureOf(reply: HttpReply): CliFailure =
        when (reply.status) {
            in CLIENT_ERRORS -> CliFailure(ExitCode.BAD_INPUT, reply.body)
            GATEWAY_TIMEOUT -> CliFailure(ExitCode.NOT_REACHABLE, "$UNKNOWN_OUTCOME: ${reply.body}")
            else -> CliFailure(ExitCode.NOT_REACHABLE, "status ${reply.status}: ${reply.body}")
        }

    /** Prints the new version and updates the base version in the file, if it has one, for the next edit. */
    private fun reportAccepted(version: Long): Int {
        cli.printLine("accepted as version $version")
        val text = readText(file)
        if (BaseVersion.parse(text) != null) {
            Files.writeString(Path.of(file), BaseVersion.headerLine(version) + "\n" + BaseVersion.stripHeader(text))
        }
        return ExitCode.SUCCESS
    }

    /** Reads the rules in force to find out if a write without a reply has taken effect. */
    private fun resolveLostReply(client: ApiClient, baseVersion: Long, text: String, cause: NoReplyException): Int {
        if (!cause.mayHaveBeenSent) throw cause.toCliFailure()
        val current = fetchRulesInForce(client)
        if (current.version == baseVersion + 1 && current.text == text) return reportAccepted(current.version)
        val state = "version ${current.version} is in force now, look again with `rules diff $file`"
        throw cause.toCliFailure("\n$UNKNOWN_OUTCOME: $state")
    }

    private fun reportConflict(baseVersion: Long, current: RulesInForce, document: RulesDocument): Int {
        val state = "$file starts from version $baseVersion, version ${current.version} is in force"
        cli.printDiagnostic("conflict: $state; not applied")
        cli.printDiagnostic("what your file would change there, the other change included:")
        val currentDocument = RulesReader.document(current.text, "version ${current.version}").orFail()
        cli.print(RulesDiff.between(currentDocument, document).toString())
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
