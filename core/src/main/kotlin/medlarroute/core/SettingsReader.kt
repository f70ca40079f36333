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

/** Reads [Settings] from YAML and reports all faults together, each with its place. */
public object SettingsReader {
    /** Longer texts are refused before they are parsed, which bounds the memory and stack that the parser needs. */
    private const val MAX_CHARS = 1_000_000

    /** Reads [text]; [file] names it in findings. An empty text gives the defaults. */
    public fun read(text: String, file: String): Either<NonEmptyList<Finding>, Settings> {
        if (text.length > MAX_CHARS) return one(file, "the file is longer than $MAX_CHARS characters")
        return parse(text, file).flatMap { root -> if (root == null) Settings().right() else read(root, file) }
    }

    /** The document of [text]; null if it is empty. */
    private fun parse(text: String, file: String): Either<NonEmptyList<Finding>, YamlNode?> =
        try {
            Yaml.default.parseToYamlNode(text).right()
        } catch (_: EmptyYamlDocumentException) {
            null.right()
        } catch (e: YamlException) {
            one(file, oneLine(e.message), e.line, e.column)
        } catch (e: StackOverflowError) {
            one(file, "not YAML: nested too deeply (${e.javaClass.simpleName})")
        } catch (e: RuntimeException) {
            one(file, "not YAML: ${oneLine(e.message.orEmpty())}")
        }

    private fun read(root: YamlNode, file: String): Either<NonEmptyList<Finding>, Settings> {
        val shape = SettingsShape(file).check(root, Settings.serializer().descriptor)
        shape.toNonEmptyListOrNull()?.let { return it.left() }
        val settings = try {
            Yaml.default.decodeFromYamlNode(Settings.serializer(), root)
        } catch (e: YamlException) {
            return one(file, oneLine(e.message), e.line, e.column)
        }
        val places = SettingsPlaces(file, root.yamlMap)
        val contradictions = SettingsContradictions(settings, places).find()
        return contradictions.toNonEmptyListOrNull()?.left() ?: completed(settings).right()
    }

    /** The engine runs in the failure domain of its instance unless the file says so itself. */
    private fun completed(settings: Settings): Settings =
        settings.copy(engine = settings.engine.copy(failureDomain = settings.instance.failureDomain))

    private fun one(file: String, message: String, line: Int = 1, column: Int = 1) =
        nonEmptyListOf(Finding(file, line, column, message)).left()

    private fun oneLine(message: String) = message.lineSequence().map { it.trim() }.joinToString(" ")
}

/** Finds the place of a setting in its file. */
internal class SettingsPlaces(private val file: String, private val root: YamlMap) {
    /** Whether the file sets the value at [path], for example `drain.limitMs`. */
    fun isSet(path: String): Boolean = find(path.split('.')).second

    /** A finding at the value of [path], or at its nearest section if the file leaves the value to its default. */
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
