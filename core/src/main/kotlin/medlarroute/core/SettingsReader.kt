package medlarroute.core

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import com.charleskorn.kaml.EmptyYamlDocumentException
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.yamlMap

/** Reads [Settings] from YAML and reports all errors together, each with its location. */
public object SettingsReader {
    /** Longer texts are rejected before parsing, which bounds the memory and the stack that the parser needs. */
    private const val MAX_CHARS = 1_000_000

    /** Reads [text]; [file] names it in findings. An empty text gives the defaults. */
    public fun read(text: String, file: String): Either<NonEmptyList<Finding>, Settings> {
        if (text.length > MAX_CHARS) return singleFinding(file, "the file is longer than $MAX_CHARS characters")
        return parse(text, file).flatMap { root -> if (root == null) Settings().right() else read(root, file) }
    }

    /** The document of [text]; null if it is empty. */
    private fun parse(text: String, file: String): Either<NonEmptyList<Finding>, YamlNode?> =
        try {
            Yaml.default.parseToYamlNode(text).right()
        } catch (_: EmptyYamlDocumentException) {
            null.right()
        } catch (e: YamlException) {
            singleFinding(file, oneLine(e.message), e.line, e.column)
        } catch (e: StackOverflowError) {
            singleFinding(file, "not YAML: nested too deeply (${e.javaClass.simpleName})")
        } catch (e: RuntimeException) {
            singleFinding(file, "not YAML: ${oneLine(e.message.orEmpty())}")
        }

    private fun read(root: YamlNode, file: String): Either<NonEmptyList<Finding>, Settings> {
        val schemaFindings = SettingsSchemaCheck(file).check(root, Settings.serializer().descriptor)
        schemaFindings.toNonEmptyListOrNull()?.let { return it.left() }
        val settings = try {
            Yaml.default.decodeFromYamlNode(Settings.serializer(), root)
        } catch (e: YamlException) {
            return singleFinding(file, oneLine(e.message), e.line, e.column)
        }
        val locations = SettingsLocations(file, root.yamlMap)
        val inconsistencies = SettingsConsistencyCheck(settings, locations).check()
        return inconsistencies.toNonEmptyListOrNull()?.left() ?: withEngineDomain(settings).right()
    }

    /** Sets the engine's failure domain to that of its instance; the file may only repeat it. */
    private fun withEngineDomain(settings: Settings): Settings =
        settings.copy(engine = settings.engine.copy(failureDomain = settings.instance.failureDomain))

    private fun singleFinding(file: String, message: String, line: Int = 1, column: Int = 1) =
        nonEmptyListOf(Finding(file, line, column, message)).left()

    private fun oneLine(message: String) = message.lineSequence().map { it.trim() }.joinToString(" ")
}

/** Finds the location of a setting in its file. */
internal class SettingsLocations(private val file: String, private val root: YamlMap) {
    /** Whether the file sets the value at [path], for example `drain.limitMs`. */
    fun isSet(path: String): Boolean = find(path.split('.')).second

    /** A finding at the value of [path], or at its closest enclosing section if the file does not set the value. */
    fun finding(path: String, message: String): Finding {
        val location = find(path.split('.')).first.location
        return Finding(file, location.line, location.column, "$path: $message")
    }

    private fun find(names: List<String>): Pair<YamlNode, Boolean> {
        var node: YamlNode = root
        for (name in names) {
            val next = (node as? YamlMap)?.get<YamlNode>(name) ?: return node to false
            node = next
        }
        return node to true
    }
}
