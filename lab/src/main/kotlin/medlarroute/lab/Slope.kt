package medlarroute.lab

/** Straight line fitted to measured points by least squares. */
internal data class Slope(val perUnit: Double, val offset: Double) {
    fun at(size: Double): Double = offset + perUnit * size

    companion object {
        /** Fits [points] of size and measured value; needs at least two different sizes. */
        fun fit(points: List<Pair<Double, Double>>): Slope {
            val meanSize = points.map { it.first }.average()
            val meanValue = points.map { it.second }.average()
            val covariance = points.sumOf { (it.first - meanSize) * (it.second - meanValue) }
            val variance = points.sumOf { (it.first - meanSize) * (it.first - meanSize) }
            require(variance > 0) { "a slope needs at least two different sizes" }
            val perUnit = covariance / variance
            return Slope(perUnit, meanValue - perUnit * meanSize)
        }
    }
}
