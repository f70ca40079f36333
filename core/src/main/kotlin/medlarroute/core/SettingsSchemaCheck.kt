package medlarroute.core

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import com.charleskorn.kaml.YamlTaggedNode
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind

/** Validates a YAML document against the serial descriptor of a class: keys, types, units and ranges. */
@OptIn(ExperimentalSerializationApi::class)
internal class SettingsSchemaCheck(private val file: String) {
    private val findings = ArrayList<Finding>()

    /** All errors of [root] as a value of [descriptor], in the order of the file. */
    fun check(root: YamlNode, descriptor: SerialDescriptor): List<Finding> {
        checkNode(root, descriptor, "", null)
        return findings.sortedWith(compareBy({ it.line }, { it.column }))
    }

    private fun checkNode(node: YamlNode, descriptor: SerialDescriptor, path: String, setting: Setting?) {
        when {
            node is YamlTaggedNode -> report(node, path, "tags are not supported")
            descriptor.kind == StructureKind.CLASS -> checkClass(node, descriptor, path)
            descriptor.kind == StructureKind.LIST -> checkList(node, descriptor, path)
            else -> checkValue(node, descriptor, path, setting)
        }
    }

    private fun checkClass(node: YamlNode, descriptor: SerialDescriptor, path: String) {
        if (node !is YamlMap) return report(node, path, "expected a section with keys, found ${describe(node)}")
        for ((key, value) in node.entries) {
            val index = (0 until descriptor.elementsCount).firstOrNull { descriptor.getElementName(it) == key.content }
            if (index == null) {
                report(key, join(path, key.content), unknownKey(key.content, descriptor))
            } else {
                val setting = descriptor.getElementAnnotations(index).filterIsInstance<Setting>().firstOrNull()
                checkNode(value, descriptor.getElementDescriptor(index), join(path, key.content), setting)
            }
        }
    }

    private fun checkList(node: YamlNode, descriptor: SerialDescriptor, path: String) {
        if (node !is YamlList) return report(node, path, "expected a list, found ${describe(node)}")
        node.items.forEachIndexed { i, item -> checkNode(item, descriptor.getElementDescriptor(0), "$path[$i]", null) }
    }

    private fun checkValue(node: YamlNode, descriptor: SerialDescriptor, path: String, setting: Setting?) {
        if (node is YamlNull && descriptor.isNullable) return
        if (node !is YamlScalar) return report(node, path, "expected a value, found ${describe(node)}")
        val text = node.content
        when (descriptor.kind) {
            PrimitiveKind.INT -> checkNumber(node, path, setting, text.toIntOrNull(), "a whole number")
            PrimitiveKind.LONG -> checkNumber(node, path, setting, text.toLongOrNull(), "a whole number")
            PrimitiveKind.DOUBLE -> checkNumber(node, path, setting, finiteOrNull(text), "a number")
            PrimitiveKind.BOOLEAN -> if (text !in booleans) report(node, path, "expected true or false, found `$text`")
            SerialKind.ENUM -> checkEnum(node, descriptor, path)
            else -> Unit
        }
    }

    private fun checkEnum(node: YamlScalar, descriptor: SerialDescriptor, path: String) {
        val names = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
        if (node.content in names) return
        report(node, path, "expected one of ${names.joinToString()}, found `${node.content}`")
    }

    private fun checkNumber(node: YamlScalar, path: String, setting: Setting?, number: Number?, expected: String) {
        val value = number?.toDouble() ?: return report(node, path, "expected $expected${unitHint(node.content, path)}")
        val min = setting?.min ?: 0.0
        val max = setting?.max ?: Double.MAX_VALUE
        if (value < min) report(node, path, "must be at least ${plain(min)}, found ${node.content}")
        if (value > max) report(node, path, "must be at most ${plain(max)}, found ${node.content}")
    }

    private fun unitHint(text: String, path: String): String {
        val unit = units.entries.firstOrNull { path.endsWith(it.key) }?.value
        val hasUnit = text.firstOrNull()?.isDigit() == true && text.last().isLetter()
        return when {
            unit == null -> ", found `$text`"
            hasUnit -> " of $unit without a unit, found `$text`"
            else -> " of $unit, found `$text`"
        }
    }

    private fun unknownKey(key: String, descriptor: SerialDescriptor): String {
        val known = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
        val similar = known.filter { withoutUnit(it) == withoutUnit(key) || editDistance(it, key) <= 2 }
        val suggestion = "did you mean ${similar.joinToString()}?"
        val hint = if (similar.isEmpty()) "known keys: ${known.joinToString()}" else suggestion
        return "unknown key; $hint"
    }

    private fun report(node: YamlNode, path: String, message: String) {
        val prefix = if (path.isEmpty()) "" else "$path: "
        findings += Finding(file, node.location.line, node.location.column, prefix + message)
    }

    private companion object {
        val booleans = setOf("true", "false")
        val units = mapOf("Ms" to "milliseconds", "Bytes" to "bytes")
        val unitSuffix = Regex("(Ms|Millis|Milliseconds|Seconds|Secs|S|Minutes|Bytes|Kib|Mib|Kb|Mb)$")

        fun withoutUnit(key: String) = key.replace(unitSuffix, "").lowercase()

        fun finiteOrNull(text: String) = text.toDoubleOrNull()?.takeIf { it.isFinite() }

        fun join(path: String, key: String) = if (path.isEmpty()) key else "$path.$key"

        fun plain(value: Double) = if (value == Math.rint(value)) value.toLong().toString() else value.toString()

        fun describe(node: YamlNode): String =
            when (node) {
                is YamlMap -> "a section"
                is YamlList -> "a list"
                is YamlNull -> "nothing"
                is YamlScalar -> "`${node.content}`"
                is YamlTaggedNode -> "a tag"
            }
    }
}

/** Levenshtein distance between [a] and [b]. */
internal fun editDistance(a: String, b: String): Int {
    var previous = IntArray(b.length + 1) { it }
    for (i in 1..a.length) {
        val row = IntArray(b.length + 1)
        row[0] = i
        for (j in 1..b.length) {
            val substitution = previous[j - 1] + if (a[i - 1] == b[j - 1]) 0 else 1
            row[j] = minOf(substitution, previous[j] + 1, row[j - 1] + 1)
        }
        previous = row
    }
    return previous[b.length]
}
