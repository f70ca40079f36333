package medlarroute.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialInfo

/**
 * Describes a field of the settings for operators. [SettingsReader] checks the range of numbers, and
 * [SettingsReference] prints the text.
 *
 * @property text one sentence without a full stop; empty for a field that is derived from others and not printed.
 * @property min smallest allowed number; numbers without this annotation are at least 0.
 * @property max largest allowed number.
 */
@OptIn(ExperimentalSerializationApi::class)
@SerialInfo
@Target(AnnotationTarget.PROPERTY)
public annotation class Setting(
    public val text: String,
    public val min: Double = 0.0,
    public val max: Double = Double.MAX_VALUE,
)
