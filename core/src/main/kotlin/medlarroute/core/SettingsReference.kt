package medlarroute.core

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlScalar
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind

/** Prints settings as YAML with a comment on each field. */
@OptIn(ExperimentalSerializationApi::class)
public object SettingsReference {
    private const val INDENT = "  "

    /** Larger upper bounds are not printed. */
    private const val MAX_PRINTED_BOUND = 1e15
    private val yaml = Yaml(configuration = YamlConfiguration(encodeDefaults = true))

    /** Prints all fields of [settings]. [SettingsReader] reads the same settings from the text. */
    public fun print(settings: Settings = Settings()): String {
        val root = yaml.parseToYamlNode(yaml.encodeToString(Settings.serializer(), settings))
        val lines = ArrayList<String>()
        section(root as YamlMap, Settings.serializer().descriptor, "", lines)
        return lines.joinToString("\n", postfix = "\n")
    }

    private fun section(node: YamlMap, descriptor: SerialDescriptor, indent: String, lines: MutableList<String>) {
        for (index in 0 until descriptor.elementsCount) {
            val name = descriptor.getElementName(index)
            val setting = descriptor.getElementAnnotations(index).filterIsInstance<Setting>().firstOrNull()
            if (setting?.text?.isEmpty() == true) continue
            setting?.let { lines += "$indent# ${comment(it)}" }
            field(name, node.get<YamlNode>(name), descriptor.getElementDescriptor(index), indent, lines)
        }
    }

    private fun field(
        name: String,
        value: YamlNode?,
        descriptor: SerialDescriptor,
        indent: String,
        lines: MutableList<String>,
    ) {
        when (value) {
            is YamlMap -> {
                lines += "$indent$name:"
                section(value, descriptor, indent + INDENT, lines)
            }

            is YamlList -> list(name, value, descriptor.getElementDescriptor(0), indent, lines)

            is YamlScalar -> lines += "$indent$name: ${scalar(value, descriptor)}"

            else -> lines += "$indent$name: null"
        }
    }

    private fun list(
        name: String,
        value: YamlList,
        descriptor: SerialDescriptor,
        indent: String,
        lines: MutableList<String>,
    ) {
        lines += if (value.items.isEmpty()) "$indent$name: []" else "$indent$name:"
        for (item in value.items) {
            if (descriptor.kind != StructureKind.CLASS || item !is YamlMap) {
                lines += "$indent$INDENT- ${scalar(item as YamlScalar, descriptor)}"
                continue
            }
            val block = ArrayList<String>()
            section(item, descriptor, "", block)
            val start = block.indexOfFirst { !it.startsWith("#") }
            val fields = block.drop(start).filterNot { it.startsWith("#") }
            lines += fields.mapIndexed { i, line -> indent + INDENT + (if (i == 0) "- " else INDENT) + line }
        }
    }

    private fun scalar(value: YamlScalar, descriptor: SerialDescriptor): String =
        if (descriptor.kind == PrimitiveKind.STRING) quoted(value.content) else value.content

    private fun quoted(text: String) = "\"${text.replace("\\", "\\\\").replace("\"", "\\\"")}\""

    private fun comment(setting: Setting): String {
        val min = setting.min.takeIf { it != 0.0 }?.let { "at least ${plain(it)}" }
        val max = setting.max.takeIf { it < MAX_PRINTED_BOUND }?.let { "at most ${plain(it)}" }
        val range = listOfNotNull(min, max).joinToString(", ")
        return if (range.isEmpty()) "${setting.text}." else "${setting.text} ($range)."
    }

    private fun plain(value: Double) = if (value == Math.rint(value)) value.toLong().toString() else value.toString()
}
