package medlarroute.core

/** An error at a location in a settings or rules file. [line] and [column] count from 1. */
public data class Finding(
    public val file: String,
    public val line: Int,
    public val column: Int,
    public val message: String,
) {
    /** The form that editors and terminals recognize as a location: `file:line:column: message`. */
    override fun toString(): String = "$file:$line:$column: $message"
}
